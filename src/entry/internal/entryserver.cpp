#include "entry/entryserver.h"

#include <httplib.h>

#include <thread>
#include <utility>

#include "entry/internal/batchapi.h"
#include "entry/internal/elasticpool.h"
#include "entry/internal/entrycontext.h"
#include "entry/internal/httperror.h"
#include "entry/internal/onlineapi.h"
#include "entry/internal/operatorapi.h"
#include "global/hash.h"
#include "global/logging.h"
#include "introspection/httplisten.h"

namespace papayarack::entry {
namespace {

constexpr std::size_t kKeepAliveRequests = 1000;
constexpr int kKeepAliveSeconds = 2;
constexpr std::chrono::seconds kReadTimeout{10};
constexpr std::chrono::seconds kWriteTimeout{10};
constexpr std::chrono::milliseconds kControlTimeout{4000};

}  // namespace

struct EntryServer::Impl {
  Impl(const Settings& settings, Metrics& metrics)
      : settings(settings),
        metrics(metrics),
        fleet({settings.zone,
               Hash64(settings.name, static_cast<std::uint64_t>(WallNow())),
               0.34, 3.0, 0.75}),
        control(client, settings.control),
        context{this->settings, metrics, fleet, client,
                control,        leaving, busy,  open_answers} {
    this->Configure();
    const Endpoint listen = ParseEndpoint(settings.http_listen, "/http_listen");
    introspection::BindHttp(this->server, listen, "/http_listen");
    this->heartbeat_thread = std::thread([this] { this->HeartbeatLoop(); });
    this->acceptor = std::thread([this] { this->server.listen_after_bind(); });
  }

  ~Impl() {
    this->stopping = true;
    this->server.stop();
    this->acceptor.join();
    this->heartbeat_thread.join();
  }

  void Configure() {
    this->server.new_task_queue = [this] {
      return new ElasticPool(this->settings.http_threads, this->busy);
    };
    this->server.set_keep_alive_max_count(kKeepAliveRequests);
    this->server.set_keep_alive_timeout(kKeepAliveSeconds);
    this->server.set_read_timeout(kReadTimeout);
    this->server.set_write_timeout(kWriteTimeout);
    this->server.set_tcp_nodelay(true);
    this->server.set_payload_max_length(this->settings.max_body_bytes);
    this->server.set_pre_routing_handler(
        [this](const httplib::Request& request, httplib::Response& response) {
          return this->BeforeRouting(request, response);
        });
    this->server.set_error_handler(
        [](const httplib::Request& request, httplib::Response& response) {
          if (!response.body.empty()) {
            return;
          }
          const bool too_large = response.status == 413;
          const bool not_found = response.status == 404;
          SetError(response,
                   {too_large ? ResultCode::kTooLarge
                              : (not_found ? ResultCode::kNotFound
                                           : ResultCode::kBadInput),
                    too_large ? "the body is over the limit"
                              : (not_found ? "no such path: " + request.path
                                           : "the request is malformed"),
                    {}},
                   true);
        });
    AddOnlineApi(this->server, this->context);
    AddBatchApi(this->server, this->context);
    AddOperatorApi(this->server, this->context);
  }

  httplib::Server::HandlerResponse BeforeRouting(const httplib::Request&,
                                                 httplib::Response& response) {
    // When most threads are busy or this entry is shutting down, each
    // connection serves one request and closes, so that idle connections do not
    // occupy threads that new callers need.
    const bool mostly_busy = this->busy * 4 > this->settings.http_threads * 3;
    if (mostly_busy || this->leaving) {
      response.set_header("Connection", "close");
    }
    if (this->closing) {
      SetError(response,
               {ResultCode::kLeaving, "this entry is shutting down",
                std::chrono::milliseconds(100)},
               true);
      return httplib::Server::HandlerResponse::Handled;
    }
    if (!this->ready) {
      SetError(response,
               {ResultCode::kNotReady,
                "this entry has not confirmed its documents yet",
                std::chrono::milliseconds(500)},
               true);
      return httplib::Server::HandlerResponse::Handled;
    }
    return httplib::Server::HandlerResponse::Unhandled;
  }

  void HeartbeatLoop() {
    std::uint64_t fleet_version = 0;
    while (!this->stopping) {
      try {
        if (!this->ready) {
          const auto reply =
              this->control.Ask(control::QueryChanges{0}, kControlTimeout);
          control::RequireOk(reply);
          this->fleet.UpdateDocuments(
              DecodeMessage<control::ChangesReply>(reply.body));
        }
        control::Heartbeat heartbeat;
        heartbeat.report.name = this->settings.name;
        heartbeat.report.role = "entry";
        heartbeat.report.zone = this->settings.zone;
        heartbeat.report.incarnation = this->incarnation;
        heartbeat.report.revision = this->fleet.Revision();
        heartbeat.report.leaving = this->leaving;
        heartbeat.fleet_version = fleet_version;
        const auto reply =
            this->control.SendHeartbeat(heartbeat, kControlTimeout);
        control::RequireOk(reply);
        const auto body = DecodeMessage<control::HeartbeatReply>(reply.body);
        this->fleet.UpdateDocuments(body.documents);
        if (body.fleet_version != fleet_version || !body.fleet_settled) {
          this->fleet.UpdateFleet(body.members, body.fleet_settled);
          // An unsettled list is requested again, until the new leader has
          // received a heartbeat from every process.
          fleet_version = body.fleet_settled ? body.fleet_version : 0;
        }
        this->last_control = MonotonicNow();
        this->ready = true;
      } catch (const ResultError& error) {
        Log(LogLevel::kDebug, "heartbeat_failed", {{"reason", error.what()}});
      }
      this->SleepUntilHeartbeat();
    }
  }

  void SleepUntilHeartbeat() {
    constexpr std::chrono::milliseconds kStep{20};
    for (Duration slept{0}; slept < this->settings.heartbeat && !this->stopping;
         slept += kStep) {
      std::this_thread::sleep_for(kStep);
    }
  }

  Settings settings;
  Metrics& metrics;
  std::uint64_t incarnation = static_cast<std::uint64_t>(WallNow());
  FleetView fleet;
  transport::PeerClient client;
  control::ControlClient control;
  std::atomic<bool> leaving = false;
  std::atomic<bool> stopping = false;
  std::atomic<bool> ready = false;
  std::atomic<std::size_t> busy = 0;
  std::atomic<std::size_t> open_answers = 0;
  std::atomic<bool> closing = false;
  std::atomic<Time> last_control = Time{};
  EntryContext context;
  httplib::Server server;
  std::thread heartbeat_thread;
  std::thread acceptor;
};

EntryServer::EntryServer(const Settings& settings, Metrics& metrics)
    : impl(std::make_unique<Impl>(settings, metrics)) {}

EntryServer::~EntryServer() = default;

void EntryServer::BeginLeave() { this->impl->leaving = true; }

void EntryServer::RefuseNew() { this->impl->closing = true; }

std::size_t EntryServer::OpenAnswers() const {
  return this->impl->open_answers;
}

bool EntryServer::Healthy() const {
  return this->impl->ready && !this->impl->leaving;
}

nlohmann::json EntryServer::Dump() const {
  nlohmann::json gates = nlohmann::json::array();
  for (const GateView& gate : this->impl->fleet.View()) {
    gates.push_back({{"name", gate.name},
                     {"address", gate.address},
                     {"zone", gate.zone},
                     {"in_flight", gate.in_flight},
                     {"reported_by_others", gate.reported},
                     {"answer_begins_ms", gate.latency_ms},
                     {"set_aside", gate.set_aside},
                     {"why", gate.why}});
  }
  nlohmann::json services = nlohmann::json::array();
  for (const KnownService& service : this->impl->fleet.Services()) {
    services.push_back({{"service", service.document.service},
                        {"version", service.document.version},
                        {"revision", service.revision}});
  }
  const Duration quiet = MonotonicNow() - this->impl->last_control.load();
  return {{"role", "entry"},
          {"name", this->impl->settings.name},
          {"ready", this->impl->ready.load()},
          {"leaving", this->impl->leaving.load()},
          {"revision", this->impl->fleet.Revision()},
          {"control_quiet_ms", ToSeconds(quiet) * 1000},
          {"busy_connections", this->impl->busy.load()},
          {"services", services},
          {"gates", gates}};
}

}  // namespace papayarack::entry
