#include "nodes/noderuntime.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <random>
#include <unordered_map>
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
/// Without a leader for this long the platform's list is searched for processes
/// that know one; an election and the announcements take up to 2 s.
constexpr std::chrono::milliseconds kSearchAfter{4000};
/// What waits unsent is looked at this often: a link that works is rid of a
/// large message between two looks.
constexpr std::chrono::milliseconds kBacklogEvery{500};

std::uint64_t RandomNumber() {
  std::random_device device;
  const std::uint64_t high = device();
  // Never zero, which names nobody; below 2^63, as some JSON readers need.
  return (((high << 32U) | device()) >> 1U) | 1U;
}

/// All founders work out the same identities from the same seeds, so they agree
/// on the first members without having talked.
std::uint64_t FounderIdentity(const std::string& address) {
  return (Hash64(address) >> 1U) | 1U;
}

constexpr int kOk = 200;
constexpr int kTooMany = 429;

using EngineList = std::vector<coordination::EngineInstance>;

/// Reading a list that comes in pages: keeps itself alive until it ends.
class ListReading : public std::enable_shared_from_this<ListReading> {
 public:
  ListReading(asio::io_context& context, http::HttpClient& client,
              const Dialect& dialect, Endpoint list, ListReader& reader,
              const ListExtent& extent,
              std::function<void(std::optional<EngineList>)> done)
      : client(client),
        dialect(dialect),
        list(std::move(list)),
        reader(reader),
        most_pages(extent.most_pages),
        done(std::move(done)),
        retry(MonotonicNow(), extent.most_repeats),
        again(context),
        limit(context) {}

  void Begin() {
    this->limit.expires_after(PageRetry::kLongestReading);
    this->limit.async_wait(
        [self = this->shared_from_this()](std::error_code error) {
          if (!error && !self->over) {
            self->client.Cancel(self->call);
            self->GiveUp("took too long");
          }
        });
    this->Ask();
  }

 private:
  void Ask() {
    http::HttpCall ask;
    ask.peer = this->list;
    ask.target = this->dialect.list_target(this->token);
    this->body.clear();
    this->status = 0;
    http::HttpCallHandlers handlers;
    const auto self = this->shared_from_this();
    handlers.on_head = [self](const http::HttpHead& head) {
      self->status = head.status;
    };
    handlers.on_body = [self](std::string_view bytes) {
      self->body.append(bytes);
    };
    handlers.on_end = [self](http::HttpEnd end) { self->OnEnd(end); };
    this->call = this->client.Call(std::move(ask), std::move(handlers));
  }

  void OnEnd(http::HttpEnd end) {
    if (end != http::HttpEnd::kComplete) {
      this->AskAgain(fmt::format("call ended {}", static_cast<int>(end)));
      return;
    }
    if (this->status != kOk) {
      this->refused += this->status == kTooMany ? 1 : 0;
      const std::string reason = fmt::format("status {}", this->status);
      if (MayBeGivenLater(this->status)) {
        this->AskAgain(reason);
      } else {
        this->GiveUp(reason);
      }
      return;
    }
    EnginePage page;
    try {
      page = this->dialect.read_engine_page(this->body);
    } catch (const ResultError& error) {
      this->GiveUp(fmt::format("unreadable: {}", error.what()));
      return;
    }
    this->Take(page);
  }

  /// Symptom guarded against: a list is never whole. One call among all
  /// processes is over the platform's rate, the pages before it are thrown away
  /// and asked for anew, and those calls are over the rate in their turn.
  void AskAgain(const std::string& reason) {
    const double chance =
        std::uniform_real_distribution<double>(0, 1)(this->reader.random);
    const auto pause = this->retry.Again(MonotonicNow(), chance);
    if (!pause.has_value()) {
      this->GiveUp(reason);
      return;
    }
    this->again.expires_after(*pause);
    this->again.async_wait(
        [self = this->shared_from_this()](std::error_code error) {
          if (!error && !self->over) {
            self->Ask();
          }
        });
  }

  void Take(EnginePage& page) {
    this->retry.Taken();
    for (coordination::EngineInstance& engine : page.engines) {
      // The list moves between two pages, so that an entry can come again.
      const auto [place, added] =
          this->places.try_emplace(engine.Key(), this->engines.size());
      if (added) {
        this->engines.push_back(std::move(engine));
      } else {
        this->engines[place->second] = std::move(engine);
      }
    }
    this->skipped += page.skipped;
    if (this->first_problem.empty()) {
      this->first_problem = std::move(page.first_problem);
    }
    ++this->pages;
    if (page.next.empty() || this->pages >= this->most_pages) {
      this->LogSkipped();
      this->reader.unread.Due({}, MonotonicNow());
      this->reader.pages = this->pages;
      this->End(std::move(this->engines));
      return;
    }
    this->token = std::move(page.next);
    this->Ask();
  }

  /// Symptom guarded against: a replica that exists gets no request, and
  /// nothing tells why. Its entry lacks a field, so it was left out of the
  /// list.
  void LogSkipped() {
    const std::string text =
        this->first_problem.empty()
            ? std::string()
            : fmt::format("{} {}", this->skipped, this->first_problem);
    if (this->reader.skipped.Due(text, MonotonicNow())) {
      Log(LogLevel::kWarn, "engine_entries_skipped",
          {{"skipped", this->skipped},
           {"kept", this->engines.size()},
           {"first_problem", this->first_problem}});
    }
  }

  void GiveUp(const std::string& reason) {
    if (this->reader.unread.Due(reason, MonotonicNow())) {
      Log(LogLevel::kWarn, "engine_list_unread",
          {{"reason", reason},
           {"pages", this->pages},
           {"refused", this->refused}});
    }
    // A list that was not read to its end has at least one page more.
    this->reader.pages = std::max(this->reader.pages, this->pages + 1);
    this->End(std::nullopt);
  }

  void End(std::optional<EngineList> result) {
    this->over = true;
    this->again.cancel();
    this->limit.cancel();
    this->reader.refused = this->refused;
    this->done(std::move(result));
  }

  http::HttpClient& client;
  const Dialect& dialect;
  Endpoint list;
  ListReader& reader;
  std::size_t most_pages;
  std::function<void(std::optional<EngineList>)> done;
  PageRetry retry;
  asio::steady_timer again;
  asio::steady_timer limit;
  http::HttpCallId call = 0;
  std::string token;  ///< Of the page being read; empty for the first.
  std::string body;
  int status = 0;
  EngineList engines;
  std::unordered_map<std::string, std::size_t> places;  ///< By Key().
  std::size_t pages = 0;
  std::size_t refused = 0;
  std::size_t skipped = 0;
  std::string first_problem;
  bool over = false;
};

}  // namespace

void ReadEngineList(
    asio::io_context& context, http::HttpClient& client, const Dialect& dialect,
    const Endpoint& list, ListReader& reader, const ListExtent& extent,
    std::function<
        void(std::optional<std::vector<coordination::EngineInstance>>)>
        done) {
  std::make_shared<ListReading>(context, client, dialect, list, reader, extent,
                                std::move(done))
      ->Begin();
}

NodeRuntime::NodeRuntime(NodeOptions given, const Dialect& dialect)
    : options(std::move(given)),
      dialect(dialect),
      incarnation(RandomNumber()),
      search_pace(this->incarnation) {
  // Where no entry has a disk the seeds keep the coordination group in memory:
  // a restarted one is a new member, as after a lost disk.
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
    http::HttpServerHandlers handlers;
    handlers.on_request = [this](http::ExchangeId exchange,
                                 const http::HttpRequest&) {
      http::HttpResponse response;
      response.headers.Add("Content-Type", "text/plain; version=0.0.4");
      response.body = this->Exposition();
      this->metrics_server->Respond(exchange, response);
    };
    handlers.on_gone = [](http::ExchangeId) {};
    this->metrics_server = std::make_unique<http::HttpServer>(
        this->context, *this->options.metrics, http::HttpServerLimits{},
        std::move(handlers));
  }
}

/// Symptom guarded against: a member whose disk was wiped or damaged votes as
/// if it still held what it once acknowledged. Its identity lives on the disk:
/// a new disk is a new identity, and a damaged one is emptied and becomes new.
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
    consensus::FoundGroup(*this->files, coordination::kCoordinationGroup,
                          members);
  }
  // Last: a folder without an identity is emptied at the next start.
  consensus::IdentifyFolder(*this->files, {this->member, kCluster});
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
          this->TakeRoutes();
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
  this->SearchInList();
  this->backlog_timer = std::make_unique<asio::steady_timer>(this->context);
  this->WatchBacklog();
}

std::string NodeRuntime::Exposition() {
  transport::ShowTransport(this->server->Totals(), this->peers->Totals(),
                           this->metrics);
  if (this->watch != nullptr) {
    const coordination::FleetKnowledge& fleet = this->watch->knowledge();
    this->metrics.Set("configuration_version",
                      static_cast<double>(fleet.config_version));
    // No list yet has no age.
    if (fleet.engines_seen != Time{}) {
      const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
          MonotonicNow() - fleet.engines_seen);
      this->metrics.Set("replica_list_age_ms",
                        static_cast<double>(age.count()));
    }
  }
  return this->metrics.Exposition();
}

void NodeRuntime::WatchBacklog() {
  this->backlog_timer->expires_after(kBacklogEvery);
  this->backlog_timer->async_wait([this](std::error_code error) {
    if (error) {
      return;
    }
    this->backlog.Look(
        transport::BacklogOf(this->server->Totals(), this->peers->Totals()),
        MonotonicNow());
    this->WatchBacklog();
  });
}

/// Symptom guarded against: a process that starts while every seed in its
/// settings is gone never joins. Beside each replica on the platform's list
/// runs a gate, and every gate knows the members.
void NodeRuntime::SearchInList() {
  this->search_timer->expires_after(this->search_pace.Next());
  this->search_timer->async_wait([this](std::error_code error) {
    if (error) {
      return;
    }
    const Time heard = this->watch->knowledge().heard;
    if (MonotonicNow() - heard <= kSearchAfter) {
      this->search_pace.Found();
    } else if (this->options.list.has_value()) {
      this->Search();
      return;
    }
    this->SearchInList();
  });
}

void NodeRuntime::Search() {
  ListExtent extent;
  extent.most_pages = this->search_pace.Pages();
  // What a search is refused would be of more use to readers of the whole list.
  extent.most_repeats = 0;
  ReadEngineList(
      this->context, *this->list_client, this->dialect, *this->options.list,
      this->search_reader, extent,
      [this](const std::optional<std::vector<coordination::EngineInstance>>&
                 list) {
        this->search_pace.Ended(list.has_value());
        if (list.has_value()) {
          std::vector<std::string> gates;
          for (const coordination::EngineInstance& engine : *list) {
            Endpoint gate = ParseEndpoint(engine.address, "engine");
            gate.port = this->options.peer_listen.port;
            gates.push_back(gate.ToString());
          }
          this->watch->search().SetOthers(std::move(gates));
        }
        this->SearchInList();
      });
}

void NodeRuntime::TakeRoutes() {
  const coordination::FleetKnowledge& fleet = this->watch->knowledge();
  try {
    this->table = std::make_shared<routes::RouteTable>(
        this->dialect.read_configuration(fleet.config));
    Log(LogLevel::kInfo, "configuration_in_force",
        {{"config_version", fleet.config_version},
         {"routes", this->table->configuration().routes.size()}});
  } catch (const ResultError& error) {
    // Checked before it was committed, so this is a fault of ours: what was in
    // force stays.
    Log(LogLevel::kError, "configuration_unreadable",
        {{"config_version", fleet.config_version}, {"text", error.what()}});
  }
}

}  // namespace papayarack::nodes
