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

void StreamOrigins::ListRead(Time read_after) {
  this->history.ListRead(read_after, MonotonicNow());
  this->list_read_after = read_after;
  for (const LookupId id : this->Searched()) {
    if (this->lookups.contains(id)) {
      this->Decide(id);
    }
  }
  this->WantReading();
}

StreamOrigins::LookupId StreamOrigins::Find(TakeUp take_up, Decided decided) {
  const Time now = MonotonicNow();
  const std::string resumes = take_up.resumes;
  const origins::FoundOrigin known = this->own.Find(resumes, now);
  const bool over = known.Recorded() || resumes.empty();
  const std::vector<std::string> asked =
      over ? std::vector<std::string>()
           : origins::HomesToAsk(resumes, this->homes);
  const LookupId id = ++this->last_lookup;
  this->lookups.emplace(
      id, Lookup{std::move(take_up), origins::OriginLookup(asked, now), now,
                 asked.size(), std::nullopt, std::move(decided)});
  if (over) {
    this->Found(id, known);
    return id;
  }
  for (const std::string& home : asked) {
    this->Ask(id, home, resumes);
  }
  this->ConcludeByAnswers(id);
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
  this->ConcludeByAnswers(id);
}

void StreamOrigins::OnFailed(LookupId id, const std::string& home) {
  const auto lookup = this->lookups.find(id);
  if (lookup != this->lookups.end()) {
    lookup->second.search.Failed(home);
    this->ConcludeByAnswers(id);
  }
}

void StreamOrigins::ConcludeByAnswers(LookupId id) {
  const auto lookup = this->lookups.find(id);
  if (lookup == this->lookups.end()) {
    return;
  }
  const auto result = lookup->second.search.Result();
  // A record is of use also after the time limit, while the list is awaited.
  const bool is_over = lookup->second.found.has_value();
  if (result.has_value() && (!is_over || result->Recorded())) {
    LogSearch(lookup->second, *result);
    this->Found(id, *result);
  }
}

void StreamOrigins::ConcludeByTime(LookupId id, Time now) {
  const auto lookup = this->lookups.find(id);
  if (lookup == this->lookups.end()) {
    return;
  }
  if (lookup->second.found.has_value()) {
    this->Decide(id);
    return;
  }
  const auto result = lookup->second.search.Result(now);
  if (result.has_value()) {
    LogSearch(lookup->second, *result);
    this->Found(id, *result);
  }
}

void StreamOrigins::Found(LookupId id, const origins::FoundOrigin& found) {
  this->lookups.at(id).found = found;
  this->Decide(id);
  this->WantReading();
}

void StreamOrigins::LogSearch(const Lookup& lookup,
                              const origins::FoundOrigin& found) {
  Log(LogLevel::kInfo, "origin_searched",
      {{"request", lookup.take_up.resumes},
       {"known", found.software.Known()},
       {"recorded", found.Recorded()},
       {"version", found.software.version},
       {"homes", lookup.asked},
       {"without_record", lookup.search.WithoutRecord()},
       {"unreachable", lookup.search.Unreachable()},
       {"unanswered", lookup.search.Waiting().size()},
       {"took_ms", (MonotonicNow() - lookup.started).count() / 1000}});
}

void StreamOrigins::Decide(LookupId id) {
  const Lookup& lookup = this->lookups.at(id);
  const TakeUp& take_up = lookup.take_up;
  const Time now = MonotonicNow();
  const origins::TakeUpStep step = origins::DecideTakeUp(
      {*lookup.found, this->SoleSoftware(take_up, now)}, this->list_read_after,
      ServicesOf(*take_up.route),
      {take_up.arrived, take_up.deadline, this->list_lag}, now);
  if (const auto* decision = std::get_if<origins::Continuation>(&step)) {
    this->End(id, *decision);
  }
}

void StreamOrigins::End(LookupId id, const origins::Continuation& decision) {
  const Lookup ended = std::move(this->lookups.at(id));
  this->lookups.erase(id);
  const TakeUp& take_up = ended.take_up;
  const auto* next = std::get_if<origins::ContinueWith>(&decision);
  const char* without_record = next != nullptr ? "list" : "none";
  Log(LogLevel::kInfo, "continuation_decided",
      {{"request", take_up.request},
       {"by", ended.found->Recorded() ? "record" : without_record},
       {"version", next != nullptr ? next->software.version : std::string()},
       {"list_after_ms",
        (this->list_read_after - take_up.arrived).count() / 1000},
       {"waited_ms", (MonotonicNow() - take_up.arrived).count() / 1000}});
  ended.decided(decision);
}

void StreamOrigins::WantReading() {
  const std::vector<LookupId> waiting = this->Searched();
  if (!waiting.empty()) {
    // Ids are given in order of arrival.
    const TakeUp& first = this->lookups.at(waiting.front()).take_up;
    this->watch.WantEngines(first.arrived + this->list_lag);
  }
}

std::vector<StreamOrigins::LookupId> StreamOrigins::Searched() const {
  std::vector<LookupId> ids;
  for (const auto& [id, lookup] : this->lookups) {
    if (lookup.found.has_value()) {
      ids.push_back(id);
    }
  }
  return ids;
}

ReplicaSoftware StreamOrigins::SoleSoftware(const TakeUp& take_up,
                                            Time now) const {
  const std::vector<std::string> services = ServicesOf(*take_up.route);
  if (services.size() != 1) {
    return {};
  }
  std::chrono::milliseconds longest{0};
  for (const routes::Route& other : take_up.table->configuration().routes) {
    if (other.kind == routes::RouteKind::kStreaming) {
      longest = std::max(longest, other.timeout);
    }
  }
  const Duration window =
      longest * kMaxAttemptsOfCaller + (now - take_up.arrived);
  return this->route_history.SameSince(take_up.route->Key(), window, now)
             ? this->history.SoleSince(services.front(), window, now)
             : ReplicaSoftware{};
}

void StreamOrigins::Tick() {
  std::vector<LookupId> ids;
  for (const auto& [id, lookup] : this->lookups) {
    ids.push_back(id);
  }
  const Time now = MonotonicNow();
  for (const LookupId id : ids) {
    this->ConcludeByTime(id, now);
  }
}

}  // namespace papayarack::nodes
