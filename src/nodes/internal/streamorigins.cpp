#include "nodes/streamorigins.h"

#include <algorithm>
#include <utility>

#include "global/logging.h"
#include "nodes/originserver.h"

namespace papayarack::nodes {
namespace {

/// Gates keep origins where there are enough of them: they grow in number with
/// the requests, while stores may be busy with results.
std::vector<origins::HomeOption> HomesOf(
    const coordination::FleetKnowledge& fleet) {
  std::vector<origins::HomeOption> gates;
  std::vector<origins::HomeOption> all;
  for (const coordination::NodeReport& node : fleet.nodes) {
    if (node.away) {
      continue;
    }
    all.push_back({node.address, node.zone});
    if (node.Role() == coordination::NodeRole::kGate) {
      gates.push_back(all.back());
    }
  }
  return gates.size() >= origins::kHomes ? gates : all;
}

std::vector<std::string> ServicesOf(const routes::Route& route) {
  std::vector<std::string> services;
  for (const routes::WeightedService& target : route.targets) {
    if (target.weight > 0) {
      services.push_back(target.service);
    }
  }
  return services;
}

}  // namespace

StreamOrigins::~StreamOrigins() { *this->alive = false; }

void StreamOrigins::SetFleet(const coordination::FleetKnowledge& fleet,
                             const routes::FleetConfiguration& configuration,
                             Time now) {
  this->homes = HomesOf(fleet);
  std::set<ReplicaSoftware> listed;
  for (const coordination::EngineInstance& engine : fleet.engines) {
    listed.insert(engine.Software());
  }
  this->history.SetListed(listed, now);
  if (this->routes_version == configuration.version) {
    return;
  }
  this->routes_version = configuration.version;
  origins::RouteHistory::Services services;
  for (const routes::Route& route : configuration.routes) {
    services[route.Key()] = ServicesOf(route);
  }
  this->route_history.SetRoutes(services, now);
}

void StreamOrigins::Began(const std::string& request,
                          const ReplicaSoftware& software, Duration keep) {
  const Time now = MonotonicNow();
  const auto keep_ms = static_cast<std::uint32_t>(
      std::clamp<Duration>(keep, Duration(0), origins::OriginStore::kMaxKeep)
          .count() /
      1000);
  const origins::RecordOrigin record{request, software, keep_ms};
  if (!this->own.Record(record, now)) {
    this->metrics.Add("origins_dropped_total");
  }
  const std::string message = EncodeMessage(record);
  for (const std::string& home : origins::HomesToRecord(request, this->homes)) {
    this->peers.Call(ParseEndpoint(home, "home"), kRecordOriginPath, message,
                     {[](const std::string&) {},
                      [this, alive = this->alive](transport::CallEnd end) {
                        if (*alive && end != transport::CallEnd::kFinished) {
                          this->metrics.Add("origin_records_lost_total");
                        }
                      }});
  }
}

StreamOrigins::LookupId StreamOrigins::Find(const std::string& request,
                                            Found found) {
  const Time now = MonotonicNow();
  const origins::FoundOrigin known = this->own.Find(request, now);
  const LookupId id = ++this->last_lookup;
  if (known.Recorded() || request.empty()) {
    found(known);
    return id;
  }
  const std::vector<std::string> asked =
      origins::HomesToAsk(request, this->homes);
  this->lookups.emplace(id, Lookup{request, origins::OriginLookup(asked, now),
                                   now, asked.size(), std::move(found)});
  for (const std::string& home : asked) {
    this->Ask(id, home, request);
  }
  this->Conclude(id);
  return id;
}

void StreamOrigins::Ask(LookupId id, const std::string& home,
                        const std::string& request) {
  transport::CallHandlers handlers;
  handlers.on_message = [this, id, home,
                         alive = this->alive](const std::string& bytes) {
    if (*alive) {
      this->OnReply(id, home, bytes);
    }
  };
  // After a reply the search no longer waits for this home.
  handlers.on_end = [this, id, home, alive = this->alive](transport::CallEnd) {
    if (*alive) {
      this->OnFailed(id, home);
    }
  };
  this->peers.Call(ParseEndpoint(home, "home"), kFindOriginPath,
                   EncodeMessage(origins::FindOrigin{request}),
                   std::move(handlers));
}

void StreamOrigins::OnReply(LookupId id, const std::string& home,
                            std::string_view bytes) {
  const auto lookup = this->lookups.find(id);
  if (lookup == this->lookups.end()) {
    return;
  }
  try {
    lookup->second.search.Answered(home,
                                   DecodeMessage<origins::FoundOrigin>(bytes));
  } catch (const ResultError& error) {
    Log(LogLevel::kWarn, "origin_unreadable",
        {{"home", home}, {"text", error.what()}});
    lookup->second.search.Failed(home);
  }
  this->Conclude(id);
}

void StreamOrigins::OnFailed(LookupId id, const std::string& home) {
  const auto lookup = this->lookups.find(id);
  if (lookup != this->lookups.end()) {
    lookup->second.search.Failed(home);
    this->Conclude(id);
  }
}

void StreamOrigins::Conclude(LookupId id) {
  const auto lookup = this->lookups.find(id);
  if (lookup == this->lookups.end()) {
    return;
  }
  const Time now = MonotonicNow();
  const std::optional<origins::FoundOrigin> result =
      lookup->second.search.Result(now);
  if (!result.has_value()) {
    return;
  }
  const Lookup ended = std::move(lookup->second);
  this->lookups.erase(lookup);
  Log(LogLevel::kInfo, "origin_searched",
      {{"request", ended.request},
       {"known", result->software.Known()},
       {"recorded", result->Recorded()},
       {"version", result->software.version},
       {"homes", ended.asked},
       {"without_record", ended.search.WithoutRecord()},
       {"unreachable", ended.search.Unreachable()},
       {"unanswered", ended.search.Waiting().size()},
       {"took_ms", (now - ended.started).count() / 1000}});
  ended.found(*result);
}

ReplicaSoftware StreamOrigins::SoleSoftware(
    const routes::Route& route,
    const routes::FleetConfiguration& configuration) const {
  const std::vector<std::string> services = ServicesOf(route);
  if (services.size() != 1) {
    return {};
  }
  std::chrono::milliseconds longest{0};
  for (const routes::Route& other : configuration.routes) {
    if (other.kind == routes::RouteKind::kStreaming) {
      longest = std::max(longest, other.timeout);
    }
  }
  const Duration window = longest * kMaxAttemptsOfCaller;
  const Time now = MonotonicNow();
  return this->route_history.SameSince(route.Key(), window, now)
             ? this->history.SoleSince(services.front(), window, now)
             : ReplicaSoftware{};
}

origins::Continuation StreamOrigins::Decide(
    const origins::FoundOrigin& recorded, const routes::Route& route,
    const routes::FleetConfiguration& configuration) const {
  return origins::DecideContinuation(
      {recorded, this->SoleSoftware(route, configuration)}, ServicesOf(route));
}

void StreamOrigins::Tick() {
  std::vector<LookupId> ids;
  for (const auto& [id, lookup] : this->lookups) {
    ids.push_back(id);
  }
  for (const LookupId id : ids) {
    this->Conclude(id);
  }
}

}  // namespace papayarack::nodes
