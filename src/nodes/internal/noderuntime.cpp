#include "nodes/noderuntime.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <cstdlib>
#include <random>
#include <utility>

#include "consensus/durablelog.h"
#include "coordination/coordinator.h"
#include "coordination/jobmembers.h"
#include "global/hash.h"
#include "global/logging.h"
#include "storage/memoryfilesystem.h"

namespace papayarack::nodes {
namespace {

constexpr const char* kCluster = "papayarack";
constexpr int kExitStorageFailed = 70;
/// If no leader was heard for this long, the platform's list is searched for
/// processes that know one; an election and the announcements take up to 2 s.
constexpr std::chrono::milliseconds kLeaderSilenceBeforeSearch{4000};
/// Interval of checking the unsent bytes: a working link sends a large message
/// between two checks.
constexpr std::chrono::milliseconds kBacklogInterval{500};

std::uint64_t RandomNumber() {
  std::random_device device;
  const std::uint64_t high = device();
  // Never zero, which means "none"; below 2^63, as some JSON readers require.
  return (((high << 32U) | device()) >> 1U) | 1U;
}

/// All founders derive the same identities from the same seeds, so they agree
/// on the first members without communication.
std::uint64_t FounderIdentity(const std::string& address) {
  return (Hash64(address) >> 1U) | 1U;
}

}  // namespace

NodeRuntime::NodeRuntime(NodeOptions given, const Dialect& dialect)
    : options(std::move(given)),
      dialect(dialect),
      caller_room(RoomFor(WithProcessLimits(this->options.limits))),
      request_memory(this->caller_room.request_bytes),
      incarnation(RandomNumber()),
      search_backoff(this->incarnation) {
  Log(LogLevel::kInfo, "caller_room",
      {{"front_connections", this->caller_room.front_connections},
       {"other_connections", this->caller_room.other_connections},
       {"request_bytes", this->caller_room.request_bytes}});
  // If no entry has a disk, the seeds keep the coordination group in memory: a
  // seed that restarts is a new member, as after the loss of a disk.
  const bool in_memory = this->options.data_folder.empty() &&
                         this->options.role == coordination::NodeRole::kEntry &&
                         this->IsSeed();
  if (in_memory) {
    this->files = std::make_unique<storage::MemoryFileSystem>();
  } else if (!this->options.data_folder.empty()) {
    this->files = storage::OpenPosixFileSystem(this->options.data_folder);
  }
  if (this->files != nullptr) {
    this->OpenFiles();
  }
  this->peers = std::make_unique<transport::PeerClient>(this->context);
  this->owned_server = std::make_unique<transport::PeerServer>(
      this->context, this->options.peer_listen,
      this->dispatch.For(this->server));
  this->server = this->owned_server.get();
  this->jobs = std::make_unique<coordination::GroupClient>(
      this->context, *this->peers, this->job_search);
  if (this->options.metrics.has_value()) {
    this->ServeMetrics();
  }
}

void NodeRuntime::ServeMetrics() {
  http::HttpServerHandlers handlers;
  handlers.on_request = [this](http::ExchangeId exchange,
                               const http::HttpRequest& request) {
    this->metrics_server->Respond(exchange,
                                  this->HandleMetricsRequest(request.Path()));
  };
  handlers.on_gone = [](http::ExchangeId) {};
  handlers.on_cut = this->request_counts.CutReporter("metrics");
  this->metrics_server = std::make_unique<http::HttpServer>(
      this->context, *this->options.metrics, LimitsForOthers(this->caller_room),
      std::move(handlers), &this->request_memory);
  this->request_counts.Include("metrics", *this->metrics_server);
}

http::HttpResponse NodeRuntime::HandleMetricsRequest(std::string_view path) {
  http::HttpResponse response;
  if (path == "/engines") {
    std::vector<OwnedEngineState> engines;
    if (this->owned_engines) {
      engines = this->owned_engines();
    }
    response.headers.Add("Content-Type", "application/json");
    response.body = WriteOwnedEngines(engines);
    return response;
  }
  if (path == "/quarantine") {
    response.headers.Add("Content-Type", "application/json");
    response.body = this->QuarantineList();
    return response;
  }
  response.headers.Add("Content-Type", "text/plain; version=0.0.4");
  response.body = this->Exposition();
  return response;
}

/// Reads or creates the identity of this member, which is stored on its disk: a
/// member whose disk was wiped or damaged must not vote as if it still had what
/// it once acknowledged. A new disk gets a new identity; a damaged one is
/// emptied and becomes new.
void NodeRuntime::OpenFiles() {
  std::optional<consensus::FolderIdentity> identity;
  try {
    identity = consensus::ReadIdentity(*this->files);
  } catch (const ResultError& error) {
    Log(LogLevel::kError, "identity_unreadable", {{"text", error.what()}});
  }
  if (identity.has_value()) {
    this->member = identity->member;
    return;
  }
  for (const std::string& name : this->files->List()) {
    this->files->Remove(name);
  }
  this->files->SyncFolder();
  const std::string own = this->options.peer_listen.ToString();
  const auto& seeds = this->options.seeds;
  const bool founder = this->options.first_start &&
                       this->options.role == coordination::NodeRole::kEntry &&
                       std::ranges::find(seeds, own) != seeds.end();
  this->member = founder ? FounderIdentity(own) : RandomNumber();
  if (founder) {
    consensus::MemberList members;
    for (const std::string& seed : seeds) {
      members.members.push_back({FounderIdentity(seed), seed, true});
    }
    consensus::CreateGroup(*this->files, coordination::kCoordinationGroup,
                           members);
  }
  // Written last: a folder without an identity is emptied at the next start.
  consensus::WriteIdentity(*this->files, {this->member, kCluster});
  Log(LogLevel::kInfo, "folder_identified",
      {{"member", this->member}, {"founder", founder}});
}

bool NodeRuntime::IsSeed() const {
  const auto& seeds = this->options.seeds;
  return std::ranges::find(seeds, this->options.peer_listen.ToString()) !=
         seeds.end();
}

void NodeRuntime::StorageFailed(const std::string& reason) {
  Log(LogLevel::kError, "storage_failed", {{"reason", reason}});
  FlushLog();
  std::_Exit(kExitStorageFailed);
}

void NodeRuntime::Watch(
    std::function<void(const coordination::FleetChange&)> changed,
    bool has_member) {
  coordination::NodeReport self;
  self.name = this->options.name;
  self.role = static_cast<std::uint8_t>(this->options.role);
  self.address = this->options.peer_listen.ToString();
  self.zone = this->options.zone;
  self.incarnation = this->incarnation;
  self.member = this->member;
  self.durable = !this->options.data_folder.empty();
  self.engine_address = this->options.engine_address;
  self.service = this->options.engine_service;
  this->watch = std::make_unique<coordination::FleetWatch>(
      this->context, *this->peers, self, this->options.seeds,
      [this,
       changed = std::move(changed)](const coordination::FleetChange& change) {
        if (change.config) {
          this->LoadRoutes();
        }
        if (change.nodes) {
          this->job_search.SetMembers(
              coordination::JobCallOrder(this->watch->knowledge().nodes));
        }
        changed(change);
      });
  this->coordination = std::make_unique<coordination::GroupClient>(
      this->context, *this->peers, this->watch->search());
  this->watch->ServeHints(this->server, this->dispatch, !has_member);
  this->watch->Start();
  this->list_client = std::make_unique<http::HttpClient>(this->context);
  this->search_timer = std::make_unique<asio::steady_timer>(this->context);
  this->ScheduleLeaderSearch();
  this->backlog_timer = std::make_unique<asio::steady_timer>(this->context);
  this->CheckBacklog();
}

std::string NodeRuntime::QuarantineList() const {
  std::vector<std::string> names;
  if (this->watch != nullptr) {
    for (const auto& [trait, known] : this->watch->crashes().all()) {
      names.push_back(fmt::format("\"{}\"", trait.ToString()));
    }
  }
  return fmt::format("[{}]", fmt::join(names, ","));
}

std::string NodeRuntime::Exposition() {
  transport::ExportTransportMetrics(this->server->Totals(),
                                    this->peers->Totals(), this->metrics);
  this->request_counts.Export(this->metrics);
  this->metrics.Set("request_memory_bytes",
                    static_cast<double>(this->request_memory.held()));
  this->metrics.SetTotal("requests_refused_for_memory_total",
                         this->request_memory.refused());
  if (this->watch != nullptr) {
    const coordination::FleetKnowledge& fleet = this->watch->knowledge();
    this->metrics.Set("configuration_version",
                      static_cast<double>(fleet.config_version));
    // Without a list there is no age.
    if (fleet.engines_seen != Time{}) {
      const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
          MonotonicNow() - fleet.engines_seen);
      this->metrics.Set("replica_list_age_ms",
                        static_cast<double>(age.count()));
    }
  }
  return this->metrics.Exposition();
}

void NodeRuntime::CheckBacklog() {
  this->backlog_timer->expires_after(kBacklogInterval);
  this->backlog_timer->async_wait([this](std::error_code error) {
    if (error) {
      return;
    }
    this->backlog.Update(
        transport::TotalBacklog(this->server->Totals(), this->peers->Totals()),
        MonotonicNow());
    this->LogRefusalsForMemory();
    this->CheckBacklog();
  });
}

void NodeRuntime::LogRefusalsForMemory() {
  const std::uint64_t refused = this->request_memory.refused();
  const std::uint64_t before = std::exchange(this->refusals_logged, refused);
  if (refused != before) {
    Log(LogLevel::kWarn, "requests_refused_for_memory",
        {{"refused", refused - before},
         {"held_bytes", this->request_memory.held()},
         {"most_bytes", this->caller_room.request_bytes}});
  }
}

/// Searches the platform's list for processes that know a leader, as a process
/// that starts while all its seeds are gone could not join otherwise. Each
/// listed replica has a gate on its VM, and every gate knows the members.
void NodeRuntime::ScheduleLeaderSearch() {
  this->search_timer->expires_after(this->search_backoff.Next());
  this->search_timer->async_wait([this](std::error_code error) {
    if (error) {
      return;
    }
    const Time heard = this->watch->knowledge().heard;
    if (MonotonicNow() - heard <= kLeaderSilenceBeforeSearch) {
      this->search_backoff.Found();
    } else if (this->options.list.has_value()) {
      this->SearchLeader();
      return;
    }
    this->ScheduleLeaderSearch();
  });
}

void NodeRuntime::SearchLeader() {
  ListReadLimits extent;
  extent.max_pages = this->search_backoff.Pages();
  // No retries: readers of the whole list need the calls more.
  extent.max_repeats = 0;
  ReadEngineList(
      this->context, *this->list_client, this->dialect, *this->options.list,
      this->search_reader, extent,
      [this](const std::optional<std::vector<coordination::EngineInstance>>&
                 list) {
        this->search_backoff.Ended(list.has_value());
        if (list.has_value()) {
          std::vector<std::string> gates;
          for (const coordination::EngineInstance& engine : *list) {
            Endpoint gate = ParseEndpoint(engine.address, "engine");
            gate.port = this->options.peer_listen.port;
            gates.push_back(gate.ToString());
          }
          this->watch->search().SetOthers(std::move(gates));
        }
        this->ScheduleLeaderSearch();
      });
}

void NodeRuntime::LoadRoutes() {
  const coordination::FleetKnowledge& fleet = this->watch->knowledge();
  try {
    this->table = std::make_shared<routes::RouteTable>(
        this->dialect.read_configuration(fleet.config));
    Log(LogLevel::kInfo, "configuration_in_force",
        {{"config_version", fleet.config_version},
         {"routes", this->table->configuration().routes.size()}});
  } catch (const ResultError& error) {
    // It was checked before it was committed, so this is a bug: keep the
    // configuration in force.
    Log(LogLevel::kError, "configuration_unreadable",
        {{"config_version", fleet.config_version}, {"text", error.what()}});
  }
}

}  // namespace papayarack::nodes
