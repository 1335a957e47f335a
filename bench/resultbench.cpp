// Benchmarks batch items in the job group: five members in one process, each
// with its own thread, and gates that pull, run and report items as in a fleet.
// Prints one JSON object: processor time of the leader, of a follower and of a
// log writer, results reported and bytes sent per result.
#include <popt.h>
#include <pthread.h>
#include <unistd.h>

#include <algorithm>
#include <asio.hpp>
#include <atomic>
#include <ctime>
#include <deque>
#include <filesystem>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <thread>

#include "batches/batchstore.h"
#include "coordination/coordinationmessages.h"
#include "storage/filesystem.h"
#include "transport/peerdispatch.h"
#include "transport/peerserver.h"

namespace papayarack::bench {
namespace {

using batches::ItemRef;
using std::chrono::milliseconds;

/// Load parameters of a run.
struct Load {
  int gates = 144;
  int slots = 7;  ///< Concurrent items per gate.
  int batches = 700;
  int items = 10;         ///< Items per batch.
  int body_bytes = 1500;  ///< Body size of an item.
  int elsewhere = 0;      ///< Items that wait for a service without gates.
  int text_bytes = 20000;
  int routes = 44;
  int run_ms = 5600;  ///< Run time of an item.
  int seconds = 10;
  int copies = 1;  ///< Identical reports per outcome, sent back to back.
};

constexpr const char* kHost = "batches.example";
constexpr const char* kService = "engine";
/// Prefix of the route to a service without gates.
constexpr const char* kElsewhere = "/elsewhere/";
constexpr std::size_t kMembers = 5;
constexpr milliseconds kGateTick{40};

routes::RouteTablePtr MakeRoutes(int count) {
  routes::FleetConfiguration configuration;
  configuration.version = 1;
  for (int i = 0; i < count; ++i) {
    routes::Route route;
    route.host = kHost;
    route.path_prefix = i + 1 == count ? std::string("/b/")
                                       : "/idle-" + std::to_string(i) + "/";
    route.kind = routes::RouteKind::kBatch;
    route.targets = {{kService, 1}};
    route.batch.result_deadline = milliseconds(18000);
    configuration.routes.push_back(std::move(route));
  }
  routes::Route elsewhere = configuration.routes.back();
  elsewhere.path_prefix = kElsewhere;
  elsewhere.targets = {{"elsewhere", 1}};
  configuration.routes.push_back(std::move(elsewhere));
  return std::make_shared<routes::RouteTable>(std::move(configuration));
}

double Seconds(const timespec& time) {
  constexpr double kNanos = 1e9;
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) / kNanos;
}

double ProcessorTimeOf(clockid_t clock) {
  timespec time{};
  clock_gettime(clock, &time);
  return Seconds(time);
}

/// A member of the group with its own event loop and thread.
class Member {
 public:
  Member(consensus::MemberId id, const std::string& folder)
      : id(id),
        files(storage::OpenPosixFileSystem(folder)),
        owned(this->context, {"127.0.0.1", 0},
              this->dispatch.For(this->server)),
        peers(this->context) {
    this->server = &this->owned;
  }
  ~Member() {
    this->context.stop();
    this->thread.join();
  }
  Member(const Member&) = delete;
  Member& operator=(const Member&) = delete;

  std::string Name() const { return "member-" + std::to_string(this->id); }
  std::string Address() const {
    return "127.0.0.1:" + std::to_string(this->owned.port());
  }

  void Start(const consensus::MemberList& founders,
             const routes::RouteTablePtr& table) {
    consensus::CreateGroup(*this->files, coordination::kJobGroup, founders);
    consensus::WriteIdentity(*this->files, {this->id, "bench"});
    batches::BatchStoreOptions options;
    options.member = this->id;
    options.address = this->Address();
    options.tolerated_losses = kMembers / 2;
    options.random_seed = this->id;
    this->store = std::make_unique<batches::BatchStore>(
        this->context, *this->files, options, this->peers, this->server,
        this->dispatch,
        [this](const std::vector<std::string>&, std::uint64_t) {
          this->leads = true;
        },
        [](const std::string& reason) { std::cerr << reason << "\n"; });
    this->store->OnRoutes(table);
    this->thread = std::thread([this] { this->context.run(); });
    // Lets a profiler distinguish the members.
    pthread_setname_np(this->thread.native_handle(), this->Name().c_str());
  }

  /// Processor time of this member's event loop, in seconds.
  double ProcessorTime() {
    clockid_t clock{};
    pthread_getcpuclockid(this->thread.native_handle(), &clock);
    return ProcessorTimeOf(clock);
  }
  std::uint64_t SentBytes() const { return this->peers.Totals().sent_bytes; }

  std::atomic<bool> leads = false;

 private:
  consensus::MemberId id;
  asio::io_context context;
  std::unique_ptr<storage::FileSystem> files;
  transport::PeerDispatch dispatch;
  transport::PeerServer* server = nullptr;
  transport::PeerServer owned;
  transport::PeerClient peers;
  std::unique_ptr<batches::BatchStore> store;
  std::thread thread;
};

/// Gates and callers of the group, all run by the calling thread.
class LoadDriver {
 public:
  LoadDriver(const Load& load, std::uint16_t leader)
      : load(load), leader{"127.0.0.1", leader}, peers(this->context) {}

  void Submit() {
    for (int i = 0; i < this->load.batches; ++i) {
      this->Submit("batch-0123456789abcdef-" + std::to_string(i), "/b/",
                   this->load.items);
    }
    if (this->load.elsewhere > 0) {
      this->Submit("elsewhere", kElsewhere, this->load.elsewhere);
    }
    while (this->submitting > 0) {
      this->Run(milliseconds(1));
    }
  }

  void RunLoad(milliseconds time) {
    for (int i = 0; i < this->load.gates; ++i) {
      this->gates["gate-" + std::to_string(i)];
    }
    const Time until = MonotonicNow() + time;
    while (MonotonicNow() < until) {
      for (auto& [name, gate] : this->gates) {
        this->Tick(name, gate);
      }
      this->Run(kGateTick);
    }
  }

  std::uint64_t reported = 0;  ///< Outcomes in accepted reports.
  std::uint64_t refused = 0;   ///< Refused reports.

 private:
  struct Gate {
    std::map<ItemRef, Time> running;  ///< End of the run.
    std::deque<ItemRef> ended;
    bool pulling = false;
    bool reporting = false;
  };

  void Submit(const std::string& id, const std::string& prefix, int items) {
    batches::SubmitBatch batch;
    batch.id = id;
    batch.host = kHost;
    batch.route_key = kHost + prefix;
    for (int i = 0; i < items; ++i) {
      batch.items.push_back({"item-0123456789abcdef-" + std::to_string(i),
                             prefix + "x",
                             {},
                             std::string(this->load.body_bytes, 'b'),
                             350});
    }
    ++this->submitting;
    this->Call("/jobs/submit", EncodeMessage(batch),
               [this](const std::string&) { --this->submitting; });
  }

  void Run(milliseconds time) {
    this->context.run_for(time);
    this->context.restart();
  }

  void Call(const std::string& path, std::string body,
            std::function<void(std::string)> done) {
    transport::CallHandlers handlers;
    handlers.on_message = std::move(done);
    this->peers.Call(this->leader, path, std::move(body), std::move(handlers));
  }

  void Tick(const std::string& name, Gate& gate) {
    const Time now = MonotonicNow();
    for (auto run = gate.running.begin(); run != gate.running.end();) {
      const bool over = now >= run->second;
      if (over) {
        gate.ended.push_back(run->first);
      }
      run = over ? gate.running.erase(run) : std::next(run);
    }
    if (!gate.pulling) {
      this->Pull(name, gate);
    }
    if (!gate.reporting && !gate.ended.empty()) {
      this->Report(gate);
    }
  }

  void Pull(const std::string& name, Gate& gate) {
    batches::PullItems pull;
    pull.gate = name;
    pull.incarnation = 1;
    pull.service = kService;
    pull.room = this->load.slots - gate.running.size();
    for (const auto& [item, until] : gate.running) {
      pull.holding.push_back(item);
    }
    pull.holding.insert(pull.holding.end(), gate.ended.begin(),
                        gate.ended.end());
    gate.pulling = true;
    this->Call(
        "/jobs/pull", EncodeMessage(pull),
        [this, &gate](const std::string& reply) {
          gate.pulling = false;
          const auto answer = DecodeMessage<coordination::GroupReply>(reply);
          const auto pulled = DecodeMessage<batches::PulledItems>(answer.body);
          for (const batches::LeasedItem& item : pulled.items) {
            gate.running[{item.batch, item.spec.id}] =
                MonotonicNow() + milliseconds(this->load.run_ms);
          }
        });
  }

  void Report(Gate& gate) {
    batches::ReportOutcomes report;
    for (const ItemRef& item : gate.ended) {
      batches::ItemOutcome outcome;
      outcome.batch = item.batch;
      outcome.item = item.item;
      outcome.text = std::string(this->load.text_bytes, 't');
      report.outcomes.push_back(std::move(outcome));
    }
    const std::size_t count = report.outcomes.size();
    gate.reporting = true;
    const std::string bytes = EncodeMessage(report);
    for (int copy = 1; copy < this->load.copies; ++copy) {
      this->Call("/jobs/report", bytes, [](const std::string&) {});
    }
    this->Call("/jobs/report", bytes,
               [this, &gate, count](const std::string& reply) {
                 gate.reporting = false;
                 if (DecodeMessage<coordination::GroupReply>(reply).code != 0) {
                   ++this->refused;
                   return;
                 }
                 this->reported += count;
                 gate.ended.erase(
                     gate.ended.begin(),
                     gate.ended.begin() + static_cast<std::ptrdiff_t>(count));
               });
  }

  Load load;
  Endpoint leader;
  asio::io_context context;
  transport::PeerClient peers;
  std::map<std::string, Gate> gates;
  int submitting = 0;  ///< Batches not yet acknowledged.
};

nlohmann::json RunLoad(const Load& load) {
  const std::filesystem::path folder =
      std::filesystem::temp_directory_path() /
      ("papayarack-results-" + std::to_string(getpid()));
  std::deque<Member> members;
  consensus::MemberList founders;
  for (std::size_t i = 0; i < kMembers; ++i) {
    members.emplace_back(i + 1, (folder / std::to_string(i + 1)).string());
    founders.members.push_back({i + 1, members.back().Address(), true});
  }
  const routes::RouteTablePtr table = MakeRoutes(load.routes);
  for (Member& member : members) {
    member.Start(founders, table);
  }
  const auto leads = [](const Member& member) { return member.leads.load(); };
  while (std::ranges::none_of(members, leads)) {
    std::this_thread::sleep_for(milliseconds(10));
  }
  Member& leader = *std::ranges::find_if(members, leads);
  Member& follower =
      &leader == &members.front() ? members.back() : members.front();
  LoadDriver driver(load, ParseEndpoint(leader.Address(), "leader").port);
  driver.Submit();
  constexpr milliseconds kSettleTime{1600};
  std::this_thread::sleep_for(kSettleTime);

  // The remaining processor time belongs to the log writers.
  const auto writers_time = [&members] {
    double time = ProcessorTimeOf(CLOCK_PROCESS_CPUTIME_ID) -
                  ProcessorTimeOf(CLOCK_THREAD_CPUTIME_ID);
    for (Member& member : members) {
      time -= member.ProcessorTime();
    }
    return time;
  };
  const double writers_before = writers_time();
  const double leader_before = leader.ProcessorTime();
  const double follower_before = follower.ProcessorTime();
  const std::uint64_t sent_before = leader.SentBytes();
  driver.RunLoad(std::chrono::seconds(load.seconds));
  const double leader_time = leader.ProcessorTime() - leader_before;
  const double writer_time = (writers_time() - writers_before) / kMembers;
  const double follower_time = follower.ProcessorTime() - follower_before;
  const std::uint64_t sent = leader.SentBytes() - sent_before;
  const std::string leader_name = leader.Name();
  const double reported = std::max(1.0, static_cast<double>(driver.reported));
  constexpr double kMicros = 1e6;
  members.clear();
  std::filesystem::remove_all(folder);
  return {{"leader", leader_name},
          {"reported_per_s", reported / load.seconds},
          {"refused", driver.refused},
          {"leader_core", leader_time / load.seconds},
          {"follower_core", follower_time / load.seconds},
          {"writer_core", writer_time / load.seconds},
          {"leader_us_per_item", leader_time * kMicros / reported},
          {"leader_bytes_per_item", static_cast<double>(sent) / reported}};
}

}  // namespace
}  // namespace papayarack::bench

int main(int count, const char** words) {
  papayarack::bench::Load load;
  const std::vector<poptOption> options = {
      {"gates", 0, POPT_ARG_INT, &load.gates, 0, "gates", nullptr},
      {"batches", 0, POPT_ARG_INT, &load.batches, 0, "batches", nullptr},
      {"items", 0, POPT_ARG_INT, &load.items, 0, "items per batch", nullptr},
      {"body-bytes", 0, POPT_ARG_INT, &load.body_bytes, 0,
       "body size of an item", nullptr},
      {"elsewhere", 0, POPT_ARG_INT, &load.elsewhere, 0,
       "items that wait for a service without gates", nullptr},
      {"text-bytes", 0, POPT_ARG_INT, &load.text_bytes, 0,
       "text size of a result", nullptr},
      {"routes", 0, POPT_ARG_INT, &load.routes, 0, "configured routes",
       nullptr},
      {"run-ms", 0, POPT_ARG_INT, &load.run_ms, 0, "run time of an item",
       nullptr},
      {"seconds", 0, POPT_ARG_INT, &load.seconds, 0, "duration of the run",
       nullptr},
      {"copies", 0, POPT_ARG_INT, &load.copies, 0, "copies of each report",
       nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context =
      poptGetContext("papayarack_resultbench", count, words, options.data(), 0);
  if (poptGetNextOpt(context) < -1) {
    poptPrintUsage(context, stderr, 0);
    return 2;
  }
  poptFreeContext(context);
  std::cout << papayarack::bench::RunLoad(load).dump(2) << "\n";
  return 0;
}
