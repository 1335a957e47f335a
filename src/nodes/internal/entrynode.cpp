#include "nodes/entrynode.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "global/linkpace.h"
#include "global/logging.h"
#include "global/variantcodec.h"

namespace papayarack::nodes {
namespace {

/// Operators move on after a second without an answer to a small call.
constexpr std::chrono::milliseconds kOperatorTime{900};
constexpr std::chrono::milliseconds kOperatorTry{450};
/// Callers of batches wait 1.5 s longer than they ask for.
constexpr std::chrono::milliseconds kBatchTime{1300};
constexpr std::chrono::milliseconds kBatchTry{600};
constexpr std::chrono::milliseconds kTick{200};
/// Requests held at a start are looked at this often.
constexpr std::chrono::milliseconds kHoldTick{20};
/// Retry-After of a refusal that has no better figure, in seconds: an election
/// takes 0.6 to 1.2 s.
constexpr const char* kRetryAfter = "0.8";

/// The same where another process can take the request now.
constexpr const char* kRetryElsewhere = "0.05";

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kBadRequest = 400;
constexpr int kNotFoundStatus = 404;
constexpr int kConflictStatus = 409;
constexpr int kTooMany = 429;
constexpr int kServiceUnavailable = 503;

http::HttpResponse Plain(int status) {
  http::HttpResponse response;
  response.status = status;
  if (status == kServiceUnavailable || status == kTooMany) {
    response.headers.Add("Retry-After", kRetryAfter);
  }
  return response;
}

http::HttpResponse Json(std::string body) {
  http::HttpResponse response;
  response.headers.Add("Content-Type", "application/json");
  response.body = std::move(body);
  return response;
}

/// The status for a call whose answer is only its result.
int StatusOf(ResultCode code, int success) {
  switch (code) {
    case ResultCode::kOk:
      return success;
    case ResultCode::kNotFound:
      return kNotFoundStatus;
    case ResultCode::kConflict:
      return kConflictStatus;
    case ResultCode::kOverloaded:
      return kTooMany;
    default:
      return kServiceUnavailable;
  }
}

}  // namespace

EntryNode::EntryNode(NodeRuntime& runtime)
    : runtime(runtime),
      list_client(runtime.context),
      early(MonotonicNow()),
      early_timer(runtime.context),
      own_pace(runtime.incarnation),
      leader_timer(runtime.context),
      host(runtime),
      timer(runtime.context) {
  this->ListenFront();
  this->relay = std::make_unique<OnlineRelay>(
      runtime.context, this->front, *runtime.peers, runtime.dialect,
      runtime.metrics, RelayPlace{runtime.options.name, runtime.options.zone},
      runtime.incarnation);
  if (runtime.files != nullptr && runtime.options.control.has_value()) {
    this->StartCoordinator();
  }
  this->runtime.Watch(
      [this](const coordination::FleetChange& change) {
        this->OnFleet(change);
      },
      this->coordinator != nullptr);
  this->ListenReady();
  this->ListenControl();
  this->PollListWhenCutOff();
}

EntryNode::~EntryNode() { *this->alive = false; }

void EntryNode::StartCoordinator() {
  coordination::CoordinatorOptions options;
  options.member = this->runtime.member;
  options.address = this->runtime.options.peer_listen.ToString();
  options.losses_borne = this->runtime.options.losses_borne;
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
                 done) { this->ReadForLeader(std::move(done)); },
      [this](const std::string& reason) {
        this->runtime.StorageFailed(reason);
      });
}

/// Symptom guarded against: the leader alone makes more calls than the platform
/// takes, and each of its readings is refused a page: it reads anew at a fixed
/// pace, and the list has grown to many pages. So the pause grows with them.
void EntryNode::ReadForLeader(
    std::function<
        void(std::optional<std::vector<coordination::EngineInstance>>)>
        done) {
  if (!this->runtime.options.list.has_value()) {
    done(std::nullopt);
    return;
  }
  const auto pause =
      LeaderListPause(ListRate(this->runtime.options.list_calls_per_second),
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
    if (this->relay->CallerGone(exchange) || this->early.Remove(exchange)) {
      return;
    }
    const auto found = this->job_calls.find(exchange);
    if (found != this->job_calls.end()) {
      this->runtime.jobs->Cancel(found->second);
      this->job_calls.erase(found);
    }
  };
  this->owned_front = std::make_unique<http::HttpServer>(
      this->runtime.context, *this->runtime.options.front,
      http::HttpServerLimits{}, std::move(handlers));
  this->front = this->owned_front.get();
}

bool EntryNode::KnowsFleet() const {
  return this->runtime.table != nullptr &&
         this->runtime.watch->knowledge().engines_seen != Time{};
}

bool EntryNode::Ready() const { return !this->leaving && this->KnowsFleet(); }

void EntryNode::ListenReady() {
  if (!this->runtime.options.ready.has_value()) {
    return;
  }
  http::HttpServerHandlers handlers;
  handlers.on_request = [this](ExchangeId exchange, const http::HttpRequest&) {
    this->ready->Respond(exchange,
                         Plain(this->Ready() ? kOk : kServiceUnavailable));
  };
  handlers.on_gone = [](ExchangeId) {};
  this->ready = std::make_unique<http::HttpServer>(
      this->runtime.context, *this->runtime.options.ready,
      http::HttpServerLimits{}, std::move(handlers));
}

void EntryNode::ListenControl() {
  if (!this->runtime.options.control.has_value()) {
    return;
  }
  http::HttpServerHandlers handlers;
  handlers.on_request = [this](ExchangeId exchange,
                               const http::HttpRequest& request) {
    this->OnOperator(exchange, request);
  };
  handlers.on_gone = [](ExchangeId) {};
  this->control = std::make_unique<http::HttpServer>(
      this->runtime.context, *this->runtime.options.control,
      http::HttpServerLimits{}, std::move(handlers));
}

void EntryNode::OnFleet(const coordination::FleetChange& change) {
  if (this->runtime.table == nullptr) {
    return;
  }
  const routes::FleetConfiguration& configuration =
      this->runtime.table->configuration();
  if (change.config) {
    http::HttpServerLimits limits;
    limits.max_header_bytes = configuration.limits.max_header_bytes;
    limits.max_body_bytes = configuration.limits.max_body_bytes;
    limits.header_timeout = configuration.limits.header_timeout;
    limits.idle_timeout = configuration.limits.idle_timeout;
    this->front->SetLimits(limits);
  }
  if (change.Any()) {
    this->ShowFleetToRelay();
    this->host.OnFleet();
  }
  this->relay->SetListSeen(this->runtime.watch->knowledge().engines_seen);
  if (this->KnowsFleet()) {
    for (EarlyRequest& held : this->early.TakeAll()) {
      this->Serve(held.exchange, std::move(held.request), held.arrived);
    }
  }
}

void EntryNode::ShowFleetToRelay() {
  const coordination::FleetKnowledge& fleet = this->runtime.watch->knowledge();
  this->hosts_named = ListNamesHosts(fleet, MonotonicNow());
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
  if (this->KnowsFleet()) {
    this->Serve(exchange, std::move(request), now);
    return;
  }
  const bool first = this->early.Empty();
  if (!this->early.Offer(exchange, request, now)) {
    this->Serve(exchange, std::move(request), now);
  } else if (first) {
    this->CheckEarly();
  }
}

void EntryNode::CheckEarly() {
  this->early_timer.expires_after(kHoldTick);
  this->early_timer.async_wait(
      [this, alive = this->alive](std::error_code error) {
        if (error || !*alive) {
          return;
        }
        for (EarlyRequest& held : this->early.TakeExpired(MonotonicNow())) {
          this->Serve(held.exchange, std::move(held.request), held.arrived);
        }
        if (!this->early.Empty()) {
          this->CheckEarly();
        }
      });
}

void EntryNode::Refuse(ExchangeId exchange, const http::HttpRequest& request,
                       const char* reason, const char* retry_after) {
  http::HttpResponse response = Plain(kServiceUnavailable);
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
  const BatchCall batch_call = this->runtime.dialect.read_batch_call(request);
  if (!std::holds_alternative<std::monostate>(batch_call)) {
    this->OnBatchCall(exchange, batch_call);
    return;
  }
  const routes::Route* route =
      table->Find(request.headers.Get("Host"), request.Path());
  if (route == nullptr) {
    Log(LogLevel::kInfo, "no_route",
        {{"host", std::string(request.headers.Get("Host"))},
         {"path", std::string(request.Path())},
         {"config_version", table->configuration().version}});
    this->front->Respond(exchange, Plain(kNotFoundStatus));
    return;
  }
  if (route->kind == routes::RouteKind::kBatch) {
    this->OnBatchSubmit(exchange, request, *route);
    return;
  }
  this->relay->Take(exchange, std::move(request), table, *route, arrived);
}

void EntryNode::CallJobs(
    ExchangeId exchange, const std::string& path, std::string body,
    std::chrono::milliseconds time,
    std::function<http::HttpResponse(const Result&, std::string)> answer) {
  // The call may end before its id is known here.
  const auto ended = std::make_shared<bool>(false);
  const std::uint64_t call = this->runtime.jobs->Call(
      path, std::move(body), time,
      std::min(time, kBatchTry + time - kBatchTime),
      [this, exchange, ended, path, answer = std::move(answer)](
          const Result& result, std::string reply) {
        *ended = true;
        this->job_calls.erase(exchange);
        const http::HttpResponse response = answer(result, std::move(reply));
        if (response.status >= kNotFoundStatus) {
          Log(LogLevel::kInfo, "batch_call_refused",
              {{"call", path},
               {"status", response.status},
               {"code", static_cast<int>(result.code)},
               {"text", result.text}});
        }
        this->front->Respond(exchange, response);
      });
  if (!*ended) {
    this->job_calls[exchange] = call;
  }
}

void EntryNode::OnBatchSubmit(ExchangeId exchange,
                              const http::HttpRequest& request,
                              const routes::Route& route) {
  batches::SubmitBatch batch;
  try {
    batch = this->runtime.dialect.read_batch(request);
  } catch (const ResultError& error) {
    Log(LogLevel::kInfo, "batch_unreadable", {{"text", error.what()}});
    this->front->Respond(exchange, Plain(kBadRequest));
    return;
  }
  batch.host = route.host;
  batch.route_key = route.Key();
  batch.max_waiting_tokens = route.batch.max_waiting_tokens;
  this->CallJobs(exchange, "/jobs/submit", EncodeMessage(batch), kBatchTime,
                 [](const Result& result, const std::string&) {
                   return Plain(StatusOf(result.code, kAccepted));
                 });
}

void EntryNode::OnBatchCall(ExchangeId exchange, const BatchCall& call) {
  std::visit(
      Overloaded{
          [](const std::monostate&) {},
          [&](const BatchResultsCall& read) {
            const std::chrono::milliseconds time =
                kBatchTime + std::chrono::milliseconds(read.query.wait_ms);
            this->CallJobs(
                exchange, "/jobs/read", EncodeMessage(read.query), time,
                [this](const Result& result, const std::string& body) {
                  if (!result.Ok()) {
                    return Plain(StatusOf(result.code, kOk));
                  }
                  return Json(this->runtime.dialect.write_results(
                      DecodeMessage<batches::ResultPage>(body)));
                });
          },
          [&](const BatchBodyCall& read) {
            this->CallJobs(exchange, "/jobs/body", EncodeMessage(read.query),
                           kBatchTime,
                           [](const Result& result, std::string body) {
                             http::HttpResponse response =
                                 Plain(StatusOf(result.code, kOk));
                             response.body = result.Ok() ? std::move(body) : "";
                             return response;
                           });
          },
          [&](const BatchEndCall& end) {
            this->CallJobs(exchange, "/jobs/end",
                           EncodeMessage(batches::EndBatch{end.id}), kBatchTime,
                           [](const Result& result, const std::string&) {
                             return Plain(StatusOf(result.code, kOk));
                           });
          }},
      call);
}

void EntryNode::CallCoordination(
    ExchangeId exchange, const std::string& path, std::string body,
    std::function<http::HttpResponse(const Result&, std::string)> answer) {
  // Whoever sends a large configuration waits longer for its answer; at the
  // time of a small one a single attempt would use up the call. The text moves
  // twice before that: to the leader, and on to whoever is to obey it.
  const std::chrono::milliseconds carry = TimeToCarry(body.size());
  this->runtime.coordination->Call(
      path, std::move(body), kOperatorTime + 2 * carry, kOperatorTry + carry,
      [this, exchange, path, begun = MonotonicNow(),
       answer = std::move(answer)](const Result& result, std::string reply) {
        const http::HttpResponse response = answer(result, std::move(reply));
        Log(LogLevel::kInfo, "operator_call",
            {{"call", path},
             {"took_ms", (MonotonicNow() - begun).count() / 1000},
             {"status", response.status},
             {"code", static_cast<int>(result.code)}});
        this->control->Respond(exchange, response);
      });
}

void EntryNode::OnOperator(ExchangeId exchange,
                           const http::HttpRequest& request) {
  OperatorCall call;
  try {
    call = this->runtime.dialect.read_operator_call(request);
  } catch (const ResultError& error) {
    Log(LogLevel::kInfo, "operator_call_refused", {{"text", error.what()}});
    this->control->Respond(exchange, Plain(kBadRequest));
    return;
  }
  std::visit(Overloaded{[&](const std::monostate&) {
                          this->control->Respond(exchange,
                                                 Plain(kNotFoundStatus));
                        },
                        [&](const ReplaceConfigurationCall& replace) {
                          this->OnReplace(exchange, replace);
                        },
                        [&](const ReadConfigurationCall&) {
                          this->OnReadConfiguration(exchange);
                        },
                        [&](const EmptyStoreCall& empty) {
                          this->OnEmptyStore(exchange, empty.name);
                        },
                        [&](const ReadStoreCall& read) {
                          this->OnReadStore(exchange, read.name);
                        }},
             call);
}

void EntryNode::OnReplace(ExchangeId exchange,
                          const ReplaceConfigurationCall& call) {
  const coordination::SubmitConfiguration command{call.version, call.text};
  this->CallCoordination(exchange, "/coordination/submit",
                         EncodeMessage(command),
                         [](const Result& result, const std::string&) {
                           return Plain(StatusOf(result.code, kOk));
                         });
}

/// The leader says which version is the newest; its text mostly is here.
void EntryNode::OnReadConfiguration(ExchangeId exchange) {
  const auto& known = this->runtime.watch->knowledge();
  this->CallCoordination(
      exchange, "/coordination/read",
      EncodeMessage(coordination::ReadConfiguration{known.config_version}),
      [held = known.config_version, text = known.config](
          const Result& result, const std::string& body) {
        if (!result.Ok()) {
          return Plain(StatusOf(result.code, kOk));
        }
        auto found = DecodeMessage<coordination::SubmitConfiguration>(body);
        if (found.version == held) {
          found.text = text;
        }
        return found.text.empty() ? Plain(kServiceUnavailable)
                                  : Json(found.text);
      });
}

void EntryNode::OnEmptyStore(ExchangeId exchange, const std::string& name) {
  this->CallCoordination(exchange, "/coordination/empty-store",
                         EncodeMessage(coordination::EmptyStore{name}),
                         [](const Result& result, const std::string&) {
                           return Plain(StatusOf(result.code, kOk));
                         });
}

void EntryNode::OnReadStore(ExchangeId exchange, const std::string& name) {
  this->CallCoordination(
      exchange, "/coordination/read-store",
      EncodeMessage(coordination::ReadQuery{name}),
      [this](const Result& result, const std::string& body) {
        if (!result.Ok()) {
          return Plain(StatusOf(result.code, kOk));
        }
        const auto state = DecodeMessage<coordination::StoreState>(body);
        return state.leaving ? Json(this->runtime.dialect.write_store(state))
                             : Plain(kNotFoundStatus);
      });
}

void EntryNode::PollListWhenCutOff() {
  this->timer.expires_after(kTick);
  this->timer.async_wait([this, alive = this->alive](std::error_code error) {
    if (error || !*alive) {
      return;
    }
    const Time now = MonotonicNow();
    const coordination::FleetKnowledge& fleet =
        this->runtime.watch->knowledge();
    if (ListNamesHosts(fleet, now) != this->hosts_named) {
      this->ShowFleetToRelay();
    }
    const Time seen = fleet.engines_seen;
    if (this->runtime.options.list.has_value() && seen != Time{} &&
        !this->polling) {
      const ListLoad load = this->LoadOnList();
      if (now - seen > ListTooOld(load) && this->own_pace.Due(load, now)) {
        this->ReadByItself();
      }
    }
    this->PollListWhenCutOff();
  });
}

ListLoad EntryNode::LoadOnList() const {
  const coordination::FleetKnowledge& known = this->runtime.watch->knowledge();
  ListLoad load;
  load.rate = ListRate(this->runtime.options.list_calls_per_second);
  load.readers = LikelyReaders(this->runtime.watch->search().members().size(),
                               known.engines.size());
  // Most processes have read no list before; the one they hold tells its size.
  load.pages = std::max(this->runtime.list_reader.pages,
                        LikelyPages(known.engines.size()));
  return load;
}

void EntryNode::ReadByItself() {
  this->polling = true;
  const Time begun = MonotonicNow();
  ReadEngineList(
      this->runtime.context, this->list_client, this->runtime.dialect,
      *this->runtime.options.list, this->runtime.list_reader, {},
      [this, begun](
          std::optional<std::vector<coordination::EngineInstance>> engines) {
        this->polling = false;
        this->own_pace.Ended(this->LoadOnList(), engines.has_value(),
                             this->runtime.list_reader.refused, MonotonicNow());
        // A leader that was heard again has meanwhile told of a newer list.
        if (engines.has_value() &&
            this->runtime.watch->knowledge().engines_seen <= begun) {
          this->runtime.watch->TakeEngines(std::move(*engines));
        }
      });
}

void EntryNode::BeginLeave() {
  this->leaving = true;
  this->host.BeginLeave();
  this->front->BeginLeave();
  if (this->coordinator != nullptr) {
    this->coordinator->HandOver();
  }
}

void EntryNode::RefuseNew() {
  if (!std::exchange(this->refusing, true)) {
    this->front->StopAccepting();
  }
}

bool EntryNode::Drained() const {
  return this->front->OpenExchanges() == 0 && this->host.Drained();
}

}  // namespace papayarack::nodes
