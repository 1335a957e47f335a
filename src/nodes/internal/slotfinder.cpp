#include "nodes/slotfinder.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "global/logging.h"
#include "global/resultcode.h"
#include "global/settings.h"

namespace papayarack::nodes {

SlotFinder::SlotFinder(transport::PeerClient& peers,
                       placement::EngineChooser& chooser,
                       SpeedLearner& speed_learner, std::string own_zone,
                       Handlers handlers)
    : peers(peers),
      chooser(chooser),
      speed_learner(speed_learner),
      own_zone(std::move(own_zone)),
      handlers(std::move(handlers)) {}

SlotFinder::~SlotFinder() { *this->alive = false; }

void SlotFinder::Set(RequestId id, SlotRequest request) {
  placement::SlotSearch decisions(request.service, this->own_zone,
                                  request.objectives,
                                  !request.organisation.empty());
  Search search{std::move(request), std::move(decisions), {}, {}, {}};
  this->searches.insert_or_assign(id, std::move(search));
}

void SlotFinder::ContinueOnly(RequestId id, const ReplicaSoftware& began) {
  Search& search = this->searches.at(id);
  search.began = began;
  search.decisions.ContinueOnly(began);
}

void SlotFinder::Find(RequestId id, const placement::RequestTiming& timing) {
  this->searches.at(id).timing = timing;
  this->Advance(id);
}

/// Asks the next gate, or ends the search.
void SlotFinder::Advance(RequestId id) {
  Search& search = this->searches.at(id);
  const Time now = MonotonicNow();
  const placement::SearchStep step = search.decisions.Next(
      this->chooser, placement::WaitBudget(search.timing, now), now);
  std::visit([this, id](const auto& next) { this->Perform(id, next); }, step);
}

void SlotFinder::Perform(RequestId id, const placement::AskGate& step) {
  Search& search = this->searches.at(id);
  const std::uint64_t ask = ++search.ask;
  search.engine = step.engine;
  search.granted = false;
  search.asked = MonotonicNow();
  this->handlers.on_asked(id, search.engine, search.asked);
  AcquireSlot message;
  message.request = search.request.id;
  message.engine_id = search.engine.id;
  message.engine_address = search.engine.address;
  message.priority = placement::SlotPriority(
      search.request.organisation_priority, search.request.route_priority,
      search.began.has_value());
  message.wait_ms = static_cast<std::uint32_t>(step.longest_wait.count());
  message.organisation = search.request.organisation;
  message.spares_items = step.spares_items;
  transport::CallHandlers replies;
  replies.on_message = [this, id, ask,
                        alive = this->alive](const std::string& bytes) {
    if (*alive) {
      this->OnReply(id, ask, bytes);
    }
  };
  replies.on_end = [this, id, ask, alive = this->alive](transport::CallEnd) {
    if (*alive) {
      this->OnLost(id, ask);
    }
  };
  search.slot =
      this->peers.Call(ParseEndpoint(search.engine.gate, "gate"), "/slots/ask",
                       EncodeMessage(message), std::move(replies));
}

void SlotFinder::Perform(RequestId id, const placement::SendUngated& step) {
  this->handlers.on_found(id, {step.engine});
}

void SlotFinder::Perform(RequestId id, const placement::NoSlot& step) {
  this->handlers.on_none(id, step);
}

SlotFinder::Search* SlotFinder::Current(RequestId id, std::uint64_t ask) {
  const auto found = this->searches.find(id);
  return found != this->searches.end() && found->second.ask == ask
             ? &found->second
             : nullptr;
}

void SlotFinder::OnReply(RequestId id, std::uint64_t ask,
                         const std::string& bytes) {
  Search* search = this->Current(id, ask);
  if (search == nullptr || search->granted) {
    return;
  }
  SlotReply reply;
  try {
    reply = DecodeMessage<SlotReply>(bytes);
  } catch (const ResultError&) {
    this->peers.Cancel(search->slot);  // The gate may have granted one.
    this->OnLost(id, ask);
    return;
  }
  this->Learn(id, reply);
  const bool fits = !search->began.has_value() ||
                    search->engine.software.CanContinue(*search->began);
  if (reply.Verdict() != SlotVerdict::kGranted || !fits) {
    this->OnRejected(id, reply);
    return;
  }
  search->granted = true;
  const bool same_service = reply.service == search->request.service;
  const std::chrono::milliseconds holds(same_service ? reply.service_holds_ms
                                                     : 0);
  this->handlers.on_found(id, {search->engine, true, search->asked + holds});
}

void SlotFinder::Learn(RequestId id, const SlotReply& reply) {
  Search& search = this->searches.at(id);
  const std::string& address = search.engine.address;
  if (const auto restart =
          this->chooser.ObserveStart(address, reply.engine_started_ms)) {
    this->handlers.on_restart(*restart);
  }
  if (placement::LearnStart(search.engine.started_ms,
                            reply.engine_started_ms)) {
    search.engine.software = {};  // It may have been upgraded under its id.
    this->handlers.on_asked(id, search.engine, search.asked);
  }
  this->chooser.Reported(address, {reply.online, reply.waiting, reply.batch},
                         MonotonicNow());
  this->speed_learner.GateReplied(search.request.service, address, reply,
                                  MonotonicNow());
}

void SlotFinder::OnRejected(RequestId id, const SlotReply& reply) {
  Search& search = this->searches.at(id);
  ++search.ask;
  const transport::CallId slot = std::exchange(search.slot, 0);
  switch (reply.Verdict()) {
    case SlotVerdict::kBusy:
      search.decisions.Busy(std::chrono::milliseconds(reply.expected_wait_ms));
      break;
    case SlotVerdict::kWouldPreempt:
      search.decisions.WouldPreempt();
      break;
    case SlotVerdict::kNotOwner:
      search.decisions.NoOwner();
      this->chooser.NotOwned(search.engine.address, MonotonicNow());
      break;
    case SlotVerdict::kGranted:
      this->peers.Cancel(slot);
      [[fallthrough]];
    default:
      search.decisions.Closed();
      this->chooser.Closed(search.engine.address, MonotonicNow());
      break;
  }
  this->Advance(id);
}

/// The gate or its connection is lost. Nothing was sent before the grant, so
/// another gate is tried; after the grant the engine continues the request.
void SlotFinder::OnLost(RequestId id, std::uint64_t ask) {
  Search* search = this->Current(id, ask);
  if (search == nullptr) {
    return;
  }
  search->slot = 0;
  if (search->granted) {
    return;
  }
  ++search->ask;
  const placement::EngineOption& engine = search->engine;
  Log(LogLevel::kInfo, "gate_did_not_answer",
      {{"request", search->request.id},
       {"gate", engine.gate},
       {"engine", engine.id},
       {"hosted", engine.hosted}});
  if (engine.hosted) {
    this->chooser.HostTimedOut(engine.gate, MonotonicNow());
    search->decisions.NoOwner();
  } else {
    this->chooser.Failed(engine.address, MonotonicNow());
    search->decisions.Unanswered();
  }
  this->Advance(id);
}

void SlotFinder::Restart(RequestId id, const placement::EngineStart& failed) {
  this->searches.at(id).decisions.Restart(this->chooser, failed);
}

void SlotFinder::SetAside(RequestId id) {
  Search& search = this->searches.at(id);
  ++search.ask;
  search.set_aside = {search.engine, std::exchange(search.slot, 0),
                      std::exchange(search.granted, false)};
}

void SlotFinder::TakeBack(RequestId id) {
  Search& search = this->searches.at(id);
  this->ReleaseHeld(search);
  const Held held = *std::exchange(search.set_aside, std::nullopt);
  search.engine = held.engine;
  search.slot = held.slot;
  search.granted = held.granted;
}

void SlotFinder::ReleaseSetAside(RequestId id) {
  const auto held =
      std::exchange(this->searches.at(id).set_aside, std::nullopt);
  if (held.has_value() && held->slot != 0) {
    this->peers.Cancel(held->slot);
  }
}

void SlotFinder::Release(RequestId id) {
  const auto found = this->searches.find(id);
  if (found == this->searches.end()) {
    return;
  }
  this->ReleaseHeld(found->second);
  this->ReleaseSetAside(id);
}

void SlotFinder::ReleaseHeld(Search& search) {
  ++search.ask;
  search.granted = false;
  if (search.slot != 0) {
    this->peers.Cancel(std::exchange(search.slot, 0));
  }
}

void SlotFinder::Remove(RequestId id) {
  this->Release(id);
  this->searches.erase(id);
}

void SlotFinder::CheckReply(RequestId id, Time now) {
  const Search& search = this->searches.at(id);
  if (search.slot != 0 && !search.granted &&
      search.decisions.AskTimedOut(now - search.asked)) {
    this->peers.Cancel(search.slot);
    this->OnLost(id, search.ask);
  }
}

void SlotFinder::Excuse(Duration time, Time now) {
  for (auto& [id, search] : this->searches) {
    search.asked = std::min<Time>(search.asked + time, now);
  }
}

bool SlotFinder::Holds(RequestId id) const {
  const Search& search = this->searches.at(id);
  return search.granted && search.slot != 0;
}

std::size_t SlotFinder::Asks(RequestId id) const {
  return this->searches.at(id).decisions.Asks();
}

std::optional<std::chrono::milliseconds> SlotFinder::ShortestWait(
    RequestId id) const {
  return this->searches.at(id).decisions.ShortestWait();
}

}  // namespace papayarack::nodes
