#include "nodes/entrynode.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "global/logging.h"
#include "global/variantcodec.h"
#include "nodes/plainresponses.h"

namespace papayarack::nodes {
namespace {

constexpr std::chrono::milliseconds kTick{200};
/// Interval of checking requests that are held at start-up.
constexpr std::chrono::milliseconds kEarlyTick{20};
constexpr const char* kKeysOutdated = "the keys known here are outdated";

std::string NameOf(const organisations::Authenticated& caller) {
  return caller.organisation != nullptr ? caller.organisation->name
                                        : std::string();
}

}  // namespace

EntryNode::EntryNode(NodeRuntime& runtime)
    : runtime(runtime),
      list_client(runtime.context),
      startup_queue(MonotonicNow()),
      startup_timer(runtime.context),
      list_schedule(runtime.incarnation),
      leader_timer(runtime.context),
      host(runtime),
      timer(runtime.context) {
  this->ListenFront();
  if (runtime.files != nullptr && runtime.options.control.has_value()) {
    this->StartCoordinator();
  }
  this->runtime.Watch(
      [this](const coordination::FleetChange& change) {
        this->OnFleet(change);
      },
      this->coordinator != nullptr);
  this->relay = std::make_unique<OnlineRelay>(
      runtime.context, this->front, *runtime.peers, *runtime.watch,
      runtime.dialect, runtime.metrics,
      RelayOptions{runtime.options.name, runtime.options.zone,
                   runtime.options.zones, runtime.options.list_lag},
      runtime.incarnation);
  this->quotas = std::make_unique<CallerQuotas>(
      runtime.context, *runtime.coordination, runtime.options,
      runtime.incarnation, runtime.metrics);
  this->relay->SetNotRun([this](const std::string& organisation, Time arrived) {
    this->quotas->GiveBack(organisation, arrived);
  });
  this->ListenReady();
  this->operators = std::make_unique<OperatorApi>(this->runtime);
  this->PollListWhenCutOff();
}

EntryNode::~EntryNode() { *this->alive = false; }

void EntryNode::StartCoordinator() {
  coordination::CoordinatorOptions options;
  options.member = this->runtime.member;
  options.address = this->runtime.options.peer_listen.ToString();
  options.tolerated_losses = this->runtime.options.tolerated_losses;
  options.random_seed = this->runtime.incarnation;
  options.has_disk = !this->runtime.options.data_folder.empty();
  options.seeds = [this] { return this->runtime.options.seeds; };
  options.hint = [this] {
    const coordination::LeaderSearch& search = this->runtime.watch->search();
    return coordination::LeaderHint{search.leader(), search.members()};
  };
  options.leader_known = [this](const coordination::AnnounceMembers& known) {
    this->runtime.watch->OnAnnounced(known);
  };
  this->coordinator = std::make_unique<coordination::Coordinator>(
      this->runtime.context, *this->runtime.files, options,
      *this->runtime.peers, this->runtime.server, this->runtime.dispatch,
      [this](std::function<void(
                 std::optional<std::vector<coordination::EngineInstance>>)>
                 done) { this->ReadListForLeader(std::move(done)); },
      [this](const std::string& reason) {
        this->runtime.StorageFailed(reason);
      });
  this->quota_server = std::make_unique<QuotaServer>(
      *this->coordinator, this->runtime.server, this->runtime.dispatch,
      this->runtime.options.quota_tolerance, this->runtime.metrics);
}

/// Spaces the list reads of the leader by the number of pages: at a fixed
/// interval a list of many pages alone exceeds the platform's rate limit, and a
/// page of each read is refused.
void EntryNode::ReadListForLeader(
    std::function<
        void(std::optional<std::vector<coordination::EngineInstance>>)>
        done) {
  if (!this->runtime.options.list.has_value()) {
    done(std::nullopt);
    return;
  }
  const auto pause =
      LeaderListInterval(ListRate(this->runtime.options.list_calls_per_second),
                         this->runtime.list_reader.pages);
  this->leader_timer.expires_after(std::max<Duration>(
      this->leader_read + pause - MonotonicNow(), Duration::zero()));
  this->leader_timer.async_wait([this, alive = this->alive,
                                 done =
                                     std::move(done)](std::error_code error) {
    if (error || !*alive) {
      return;
    }
    ReadEngineList(
        this->runtime.context, this->list_client, this->runtime.dialect,
        *this->runtime.options.list, this->runtime.list_reader, {},
        [this,
         done](std::optional<std::vector<coordination::EngineInstance>> list) {
          this->leader_read = MonotonicNow();
          done(std::move(list));
        });
  });
}

void EntryNode::ListenFront() {
  http::HttpServerHandlers handlers;
  handlers.on_request = [this](ExchangeId exchange, http::HttpRequest request) {
    this->OnRequest(exchange, std::move(request));
  };
  handlers.on_gone = [this](ExchangeId exchange) {
    if (!this->relay->CallerGone(exchange) &&
        !this->startup_queue.Remove(exchange) &&
        !this->quotas->Remove(exchange)) {
      this->batches->CallerGone(exchange);
    }
  };
  handlers.on_cut = this->runtime.request_counts.CutReporter("front");
  http::HttpServerLimits limits;
  limits.max_connections = this->runtime.caller_room.front_connections;
  this->owned_front = std::make_unique<http::HttpServer>(
      this->runtime.context, *this->runtime.options.front, limits,
      std::move(handlers), &this->runtime.request_memory);
  this->front = this->owned_front.get();
  this->runtime.request_counts.Include("front", *this->front);
  this->batches = std::make_unique<BatchApi>(this->runtime, *this->front);
}

bool EntryNode::KnowsFleet() const {
  return this->runtime.table != nullptr &&
         this->runtime.watch->knowledge().engines_seen != Time{};
}

bool EntryNode::AcceptsKeys() {
  return !this->runtime.table->configuration().requires_keys ||
         this->TrustInKeys() != organisations::KeyTrust::kNone;
}

bool EntryNode::Ready() {
  return !this->leaving && this->KnowsFleet() && this->AcceptsKeys();
}

void EntryNode::ListenReady() {
  if (!this->runtime.options.ready.has_value()) {
    return;
  }
  http::HttpServerHandlers handlers;
  handlers.on_request = [this](ExchangeId exchange, const http::HttpRequest&) {
    this->ready->Respond(
        exchange, EmptyResponse(this->Ready() ? kOk : kServiceUnavailable));
  };
  handlers.on_gone = [](ExchangeId) {};
  handlers.on_cut = this->runtime.request_counts.CutReporter("ready");
  this->ready = std::make_unique<http::HttpServer>(
      this->runtime.context, *this->runtime.options.ready,
      LimitsForOthers(this->runtime.caller_room), std::move(handlers),
      &this->runtime.request_memory);
  this->runtime.request_counts.Include("ready", *this->ready);
}

void EntryNode::OnFleet(const coordination::FleetChange& change) {
  if (this->runtime.table == nullptr) {
    return;
  }
  const routes::FleetConfiguration& configuration =
      this->runtime.table->configuration();
  if (change.config) {
    http::HttpServerLimits limits;
    limits.max_connections = this->runtime.caller_room.front_connections;
    limits.max_header_bytes = configuration.limits.max_header_bytes;
    limits.max_body_bytes = configuration.limits.max_body_bytes;
    limits.header_timeout = configuration.limits.header_timeout;
    limits.idle_timeout = configuration.limits.idle_timeout;
    this->front->SetLimits(limits);
    if (!std::exchange(this->had_configuration, true)) {
      this->startup_queue.ConfigurationKnown(MonotonicNow());
    }
    this->quotas->SetLimits(configuration);
    if (this->quota_server != nullptr) {
      this->quota_server->SetLimits(configuration);
    }
  }
  if (change.Any()) {
    this->UpdateRelay();
    this->host.OnFleet();
  }
  const coordination::FleetKnowledge& fleet = this->runtime.watch->knowledge();
  this->relay->SetListSeen(fleet.engines_seen, fleet.engines_read_after);
  if (this->KnowsFleet() && this->AcceptsKeys()) {
    for (EarlyRequest& held : this->startup_queue.TakeAll()) {
      this->Serve(held.exchange, std::move(held.request), held.arrived);
    }
  }
}

void EntryNode::UpdateRelay() {
  const coordination::FleetKnowledge& fleet = this->runtime.watch->knowledge();
  this->host_list_valid = HostListValid(fleet, MonotonicNow());
  if (this->runtime.table != nullptr) {
    this->relay->SetFleet(fleet, this->runtime.table->configuration());
  }
}

void EntryNode::OnRequest(ExchangeId exchange, http::HttpRequest request) {
  if (this->refusing) {
    this->Refuse(exchange, request, "this process is leaving", kRetryElsewhere);
    return;
  }
  const Time now = MonotonicNow();
  if (this->KnowsFleet() && this->AcceptsKeys()) {
    this->Serve(exchange, std::move(request), now);
    return;
  }
  const bool first = this->startup_queue.Empty();
  if (!this->startup_queue.Offer(exchange, request, now)) {
    this->Serve(exchange, std::move(request), now);
  } else if (first) {
    this->ScheduleEarlyCheck();
  }
}

void EntryNode::ScheduleEarlyCheck() {
  this->startup_timer.expires_after(kEarlyTick);
  this->startup_timer.async_wait([this,
                                  alive = this->alive](std::error_code error) {
    if (error || !*alive) {
      return;
    }
    for (EarlyRequest& held : this->startup_queue.TakeExpired(MonotonicNow())) {
      this->Serve(held.exchange, std::move(held.request), held.arrived);
    }
    if (!this->startup_queue.Empty()) {
      this->ScheduleEarlyCheck();
    }
  });
}

void EntryNode::Refuse(ExchangeId exchange, const http::HttpRequest& request,
                       const char* reason, const char* retry_after) {
  http::HttpResponse response = EmptyResponse(kServiceUnavailable);
  response.headers.Set("Retry-After", retry_after);
  Log(LogLevel::kInfo, "request_refused",
      {{"path", std::string(request.Path())}, {"reason", reason}});
  this->front->Respond(exchange, response);
}

void EntryNode::Serve(ExchangeId exchange, http::HttpRequest request,
                      Time arrived) {
  const routes::RouteTablePtr table = this->runtime.table;
  if (table == nullptr) {
    this->Refuse(exchange, request, "no configuration is known yet",
                 kRetryAfter);
    return;
  }
  const std::string key = this->runtime.dialect.take_key(request.headers);
  const BatchCall batch_call = this->runtime.dialect.read_batch_call(request);
  if (!std::holds_alternative<std::monostate>(batch_call)) {
    this->ServeBatchCall(exchange, request, batch_call, key);
    return;
  }
  const routes::Route* route =
      table->Find(request.headers.Get("Host"), request.Path());
  if (route == nullptr) {
    Log(LogLevel::kInfo, "no_route",
        {{"host", std::string(request.headers.Get("Host"))},
         {"path", std::string(request.Path())},
         {"config_version", table->configuration().version}});
    this->front->Respond(exchange, EmptyResponse(kNotFoundStatus));
    return;
  }
  const std::optional<organisations::Authenticated> caller =
      this->Authenticate(exchange, request, key, route->allows_anonymous);
  if (!caller.has_value()) {
    return;
  }
  if (route->kind == routes::RouteKind::kBatch) {
    this->batches->Submit(exchange, request, *route,
                          {NameOf(*caller), this->HolderOf(key)});
    return;
  }
  this->ServeOnline(exchange, std::move(request),
                    {table, route, caller->organisation, arrived});
}

void EntryNode::ServeOnline(ExchangeId exchange, http::HttpRequest request,
                            RoutedCall routed) {
  if (routed.organisation == nullptr) {
    this->relay->Take(exchange, std::move(request), std::move(routed));
    return;
  }
  const std::string organisation = routed.organisation->name;
  this->quotas->Admit(
      exchange, organisation,
      [this, exchange, request = std::move(request),
       routed = std::move(routed)](const QuotaOutcome& outcome) mutable {
        std::visit(Overloaded{[&](const quotas::Admitted&) {
                                this->relay->Take(exchange, std::move(request),
                                                  std::move(routed));
                              },
                              [&](const quotas::OverLimit& over) {
                                this->RefuseOverLimit(exchange, routed,
                                                      over.retry_after);
                              },
                              [&](const LimitUnknown&) {
                                this->Refuse(
                                    exchange, request,
                                    "no leader tells what its organisation "
                                    "may send",
                                    kRetryAfter);
                              }},
                   outcome);
      });
}

void EntryNode::RefuseOverLimit(ExchangeId exchange, const RoutedCall& routed,
                                std::chrono::milliseconds retry_after) {
  http::HttpResponse response = EmptyResponse(kTooMany);
  const double seconds = std::chrono::duration<double>(retry_after).count();
  response.headers.Set("Retry-After", fmt::format("{:.2f}", seconds));
  Log(LogLevel::kInfo, "request_over_limit",
      {{"organisation", routed.organisation->name},
       {"route", routed.route->name},
       {"retry_after_ms", retry_after.count()},
       {"config_version", routed.table->configuration().version}});
  this->front->Respond(exchange, response);
}

void EntryNode::ServeBatchCall(ExchangeId exchange,
                               const http::HttpRequest& request,
                               const BatchCall& call, std::string_view key) {
  const std::optional<organisations::BatchCaller> caller =
      organisations::IdentifyBatchCaller(*this->runtime.table,
                                         request.headers.Get("Host"), key,
                                         this->TrustInKeys());
  if (caller.has_value()) {
    this->batches->Answer(exchange, call, *caller);
  } else {
    this->Refuse(exchange, request, kKeysOutdated, kRetryElsewhere);
  }
}

std::string EntryNode::HolderOf(std::string_view key) {
  const organisations::Authentication result = organisations::Authenticate(
      *this->runtime.table, false, key, this->TrustInKeys());
  const auto* caller = std::get_if<organisations::Authenticated>(&result);
  return caller != nullptr ? NameOf(*caller) : std::string();
}

/// The clock is read here: the request may have arrived while this process
/// stood still, after whatever time was read before.
organisations::KeyTrust EntryNode::TrustInKeys() {
  const coordination::FleetKnowledge& fleet = this->runtime.watch->knowledge();
  const bool in_force =
      this->runtime.table->configuration().version == fleet.config_version;
  const Time confirmed = in_force ? fleet.confirmed : Time{};
  const Time now = MonotonicNow();
  const organisations::KeyTrust trust = organisations::TrustInKeys(
      this->runtime.options.revocation, confirmed, now);
  if (trust != std::exchange(this->key_trust, trust)) {
    Log(LogLevel::kInfo, "key_trust_changed",
        {{"current", trust == organisations::KeyTrust::kCurrent},
         {"accepts_known", trust != organisations::KeyTrust::kNone},
         {"confirmed_age_ms", (now - confirmed).count() / 1000},
         {"config_version", fleet.config_version}});
  }
  return trust;
}

std::optional<organisations::Authenticated> EntryNode::Authenticate(
    ExchangeId exchange, const http::HttpRequest& request, std::string_view key,
    bool allows_anonymous) {
  using organisations::Authenticated;
  const organisations::Authentication result = organisations::Authenticate(
      *this->runtime.table, allows_anonymous, key, this->TrustInKeys());
  return std::visit(
      Overloaded{[](const Authenticated& caller) {
                   return std::optional<Authenticated>(caller);
                 },
                 [&](const organisations::KeyRejected& rejected) {
                   Log(LogLevel::kInfo, "key_rejected",
                       {{"path", std::string(request.Path())},
                        {"missing", rejected.missing},
                        {"config_version",
                         this->runtime.table->configuration().version}});
                   this->front->Respond(exchange, EmptyResponse(kUnauthorized));
                   return std::optional<Authenticated>();
                 },
                 [&](const organisations::KeysOutdated&) {
                   this->Refuse(exchange, request, kKeysOutdated,
                                kRetryElsewhere);
                   return std::optional<Authenticated>();
                 }},
      result);
}

void EntryNode::PollListWhenCutOff() {
  this->timer.expires_after(kTick);
  this->timer.async_wait([this, alive = this->alive](std::error_code error) {
    if (error || !*alive) {
      return;
    }
    if (this->quota_server != nullptr) {
      this->quota_server->Tick();
    }
    const Time now = MonotonicNow();
    const coordination::FleetKnowledge& fleet =
        this->runtime.watch->knowledge();
    if (HostListValid(fleet, now) != this->host_list_valid) {
      this->UpdateRelay();
    }
    const Time seen = fleet.engines_seen;
    if (this->runtime.options.list.has_value() && seen != Time{} &&
        !this->polling) {
      const ListLoad load = this->EstimateListLoad();
      if (now - seen > MaxListAge(load) && this->list_schedule.Due(load, now)) {
        this->ReadListDirectly();
      }
    }
    this->PollListWhenCutOff();
  });
}

ListLoad EntryNode::EstimateListLoad() const {
  const coordination::FleetKnowledge& known = this->runtime.watch->knowledge();
  ListLoad load;
  load.rate = ListRate(this->runtime.options.list_calls_per_second);
  load.readers = EstimateReaders(this->runtime.watch->search().members().size(),
                                 known.engines.size());
  // Usually this process has not read the list itself before; the size is then
  // estimated from the list that it received.
  load.pages = std::max(this->runtime.list_reader.pages,
                        EstimatePages(known.engines.size()));
  return load;
}

void EntryNode::ReadListDirectly() {
  this->polling = true;
  const Time begun = MonotonicNow();
  ReadEngineList(
      this->runtime.context, this->list_client, this->runtime.dialect,
      *this->runtime.options.list, this->runtime.list_reader, {},
      [this, begun](
          std::optional<std::vector<coordination::EngineInstance>> engines) {
        this->polling = false;
        this->list_schedule.Ended(this->EstimateListLoad(), engines.has_value(),
                                  this->runtime.list_reader.refused,
                                  MonotonicNow());
        // If a leader was heard again meanwhile, its list is newer.
        if (engines.has_value() &&
            this->runtime.watch->knowledge().engines_seen <= begun) {
          this->runtime.watch->TakeEngines(std::move(*engines), begun);
        }
      });
}

void EntryNode::BeginLeave(Time answer_by) {
  this->leaving = true;
  this->relay->BeginLeave(answer_by);
  this->batches->BeginLeave(answer_by);
  this->host.BeginLeave();
  this->front->BeginLeave();
  this->operators->BeginLeave();
  if (this->coordinator != nullptr) {
    this->coordinator->TransferLeadership();
  }
}

void EntryNode::RefuseNew() {
  if (!std::exchange(this->refusing, true)) {
    this->front->StopAccepting();
    this->operators->RefuseNew();
  }
}

void EntryNode::AnswerOpen() {
  for (const EarlyRequest& held : this->startup_queue.TakeAll()) {
    this->Refuse(held.exchange, held.request, "this process ends",
                 kRetryElsewhere);
  }
  this->relay->AnswerOpen();
  this->batches->AnswerOpen();
  this->front->RefuseUnread();
}

/// A response that was written may still be on its way when the process ends,
/// and be lost with its VM or with a reset: its caller sees an answer that
/// breaks off. So the clients close the connections first.
bool EntryNode::Drained() const {
  return this->front->OpenConnections() == 0 &&
         this->operators->OpenConnections() == 0 && this->host.Drained();
}

}  // namespace papayarack::nodes
