#include "nodes/enginehost.h"

#include <fmt/format.h>

#include <iterator>
#include <set>
#include <utility>

#include "global/logging.h"

namespace papayarack::nodes {
namespace {

/// Interval of checking queues and runners; grants after a release do not wait
/// for it.
constexpr std::chrono::milliseconds kTick{20};
/// The same while no engine is owned: only the age of the list matters.
constexpr std::chrono::milliseconds kIdleTick{200};
/// Maximum time for a released engine's items to be returned; after it their
/// leases expire.
constexpr std::chrono::milliseconds kReleaseTime{6000};

}  // namespace

EngineHost::EngineHost(NodeRuntime& runtime)
    : runtime(runtime), timer(runtime.context) {
  this->runtime.dispatch.On("/slots/ask", [this](transport::StreamId stream,
                                                 const std::string& body) {
    this->OnAsk(stream, body);
  });
  this->runtime.dispatch.OnCancel(
      [this](transport::StreamId stream) { this->OnCancel(stream); });
  this->runtime.owned_engines = [this] { return this->Owned(); };
  this->Tick();
}

EngineHost::~EngineHost() {
  *this->alive = false;
  this->runtime.owned_engines = {};
}

std::vector<OwnedEngineState> EngineHost::Owned() const {
  const Time now = MonotonicNow();
  std::vector<OwnedEngineState> owned;
  for (const auto& [address, held] : this->engines) {
    owned.push_back(held.owner->State());
    owned.back().owned = now - held.since;
  }
  return owned;
}

void EngineHost::OnFleet() {
  this->ApplyHostList(MonotonicNow());
  for (auto& [address, owned] : this->engines) {
    owned.owner->OnFleet();
  }
  for (Entry& former : this->released) {
    former.owner->OnFleet();
  }
}

void EngineHost::ApplyHostList(Time now) {
  const NodeOptions& options = this->runtime.options;
  const coordination::FleetKnowledge& fleet = this->runtime.watch->knowledge();
  this->host_list_valid = HostListValid(fleet, now);
  std::vector<EngineLocation> wanted;
  if (!options.engine_address.empty()) {
    wanted.push_back({options.engine_address, options.engine_service});
  } else if (!this->leaving_since.has_value()) {
    wanted = EnginesOwnedBy(fleet, options.peer_listen.ToString(), now);
  }
  std::map<std::string, const EngineLocation*> by_address;
  for (const EngineLocation& engine : wanted) {
    by_address[engine.address] = &engine;
  }
  for (auto owned = this->engines.begin(); owned != this->engines.end();) {
    const auto next = std::next(owned);
    const auto found = by_address.find(owned->first);
    const bool stays =
        found != by_address.end() &&
        found->second->service == owned->second.owner->engine().service;
    if (!stays) {
      this->Release(owned, this->host_list_valid
                               ? "the list of the fleet names another owner"
                               : "no leader has confirmed the list for long");
    }
    owned = next;
  }
  for (const auto& [address, engine] : by_address) {
    if (this->engines.count(address) == 0) {
      this->TakeOver(*engine);
    }
  }
  this->runtime.metrics.Set("engines_owned",
                            static_cast<double>(this->engines.size()));
}

void EngineHost::TakeOver(const EngineLocation& engine) {
  const NodeOptions& options = this->runtime.options;
  OwnedEngine owned;
  owned.address = engine.address;
  owned.service = engine.service;
  owned.same_vm = engine.address == options.engine_address;
  // Each ownership of an engine has its own leaseholder name, as the same
  // process may own the engine again before the former items are returned.
  owned.leaseholder = owned.same_vm
                          ? options.name
                          : fmt::format("{}/{}@{}", options.name,
                                        ++this->last_owner, engine.address);
  Log(LogLevel::kInfo, "engine_owned",
      {{"address", engine.address},
       {"service", engine.service},
       {"beside", owned.same_vm},
       {"engines", this->engines.size() + 1},
       {"list_age_ms", this->runtime.watch->ListAgeMs()}});
  auto owner = std::make_unique<EngineOwner>(
      this->runtime, this->SharedCrashDetector(), std::move(owned));
  owner->OnFleet();
  this->engines[engine.address] = {std::move(owner), MonotonicNow()};
}

CrashDetector& EngineHost::SharedCrashDetector() {
  if (!this->crash_detector.has_value()) {
    this->crash_detector.emplace(this->runtime.context, *this->runtime.watch);
  }
  return *this->crash_detector;
}

void EngineHost::Release(ByAddress::iterator owned, const char* reason) {
  const Time now = MonotonicNow();
  Log(LogLevel::kInfo, "engine_released",
      {{"address", owned->first},
       {"reason", reason},
       {"owned_ms", (now - owned->second.since).count() / 1000},
       {"list_age_ms", this->runtime.watch->ListAgeMs()}});
  owned->second.owner->BeginLeave();
  this->released.push_back({std::move(owned->second.owner), now});
  this->engines.erase(owned);
}

/// Processes of the previous version identify the engine by its id only.
EngineOwner* EngineHost::Find(const AcquireSlot& ask) {
  const auto found = this->engines.find(ask.engine_address);
  if (found != this->engines.end()) {
    return found->second.owner.get();
  }
  if (ask.engine_address.empty()) {
    for (auto& [address, owned] : this->engines) {
      if (owned.owner->engine_id() == ask.engine_id) {
        return owned.owner.get();
      }
    }
  }
  return nullptr;
}

void EngineHost::OnAsk(transport::StreamId stream, const std::string& body) {
  const auto ask = DecodeMessage<AcquireSlot>(body);
  EngineOwner* owner = this->Find(ask);
  if (owner != nullptr) {
    owner->Ask(stream, ask);
    return;
  }
  Log(LogLevel::kInfo, "engine_not_owned",
      {{"request", ask.request},
       {"engine", ask.engine_id},
       {"address", ask.engine_address}});
  SlotReply reply;
  reply.verdict = static_cast<std::uint8_t>(SlotVerdict::kNotOwner);
  this->runtime.server->Send(stream, EncodeMessage(reply));
  this->runtime.server->Finish(stream);
}

void EngineHost::OnCancel(transport::StreamId stream) {
  for (auto& [address, owned] : this->engines) {
    if (owned.owner->Cancelled(stream)) {
      return;
    }
  }
  for (Entry& former : this->released) {
    if (former.owner->Cancelled(stream)) {
      return;
    }
  }
}

void EngineHost::Tick() {
  const bool idle = this->engines.empty() && this->released.empty();
  this->timer.expires_after(idle ? kIdleTick : kTick);
  this->timer.async_wait([this, alive = this->alive](std::error_code error) {
    if (error || !*alive) {
      return;
    }
    const Time now = MonotonicNow();
    if (this->runtime.watch != nullptr &&
        HostListValid(this->runtime.watch->knowledge(), now) !=
            this->host_list_valid) {
      this->ApplyHostList(now);
    }
    for (auto& [address, owned] : this->engines) {
      owned.owner->Tick();
    }
    for (Entry& former : this->released) {
      former.owner->Tick();
    }
    this->released.remove_if([now](const Entry& former) {
      return former.owner->HandedOver() || now - former.since > kReleaseTime;
    });
    this->Tick();
  });
}

void EngineHost::BeginLeave() {
  this->leaving_since = MonotonicNow();
  this->runtime.watch->SetAway();
  for (auto& [address, owned] : this->engines) {
    owned.owner->BeginLeave();
  }
}

/// A return that was sent may be lost with this process while no leader
/// answers: its item would wait for the end of its lease and begin anew.
bool EngineHost::Drained() const {
  const bool awaits_returns =
      this->leaving_since.has_value() &&
      MonotonicNow() - *this->leaving_since <= kReleaseTime;
  const auto drained = [awaits_returns](const EngineOwner& owner) {
    return awaits_returns ? owner.HandedOver() : owner.Drained();
  };
  return std::ranges::all_of(
             this->engines,
             [&](const auto& entry) { return drained(*entry.second.owner); }) &&
         std::ranges::all_of(this->released, [&](const Entry& former) {
           return drained(*former.owner);
         });
}

}  // namespace papayarack::nodes
