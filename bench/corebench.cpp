// Benchmarks the decision cores and the control state in one process: time per
// decision, bytes and memory per unit, and completions through one group.
// Prints one JSON object, from which tools/capacity writes docs/CAPACITY.md.
#include <malloc.h>
#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <functional>
#include <iostream>
#include <nlohmann/json.hpp>

#include "consensus/durablelog.h"
#include "control/controlprotocol.h"
#include "entry/routercore.h"
#include "gate/gatecore.h"
#include "gate/gateprotocol.h"
#include "global/variantcodec.h"
#include "placement/enginechooser.h"
#include "placement/enginehosts.h"
#include "statemachine/statemachine.h"
#include "storage/memoryfilesystem.h"

namespace papayarack::bench {
namespace {

using Clock = std::chrono::steady_clock;

double NanosEach(std::size_t count,
                 const std::function<void(std::size_t)>& work) {
  const Clock::time_point start = Clock::now();
  for (std::size_t i = 0; i < count; ++i) {
    work(i);
  }
  const auto elapsed =
      std::chrono::duration<double, std::nano>(Clock::now() - start);
  return elapsed.count() / static_cast<double>(count);
}

double HeapBytes() { return static_cast<double>(mallinfo2().uordblks); }

std::vector<fleet::FleetMember> MakeSides(std::size_t count) {
  std::vector<fleet::FleetMember> members(count);
  for (std::size_t i = 0; i < count; ++i) {
    fleet::ProcessReport& report = members[i].report;
    report.name = "region-1-zone-" + std::to_string(i % 17) + "-side-" +
                  std::to_string(i);
    report.role = "side";
    report.kind = "engine";
    report.service = "counter";
    report.zone = "zone-" + std::to_string(i % 17);
    report.address = "10.0.0.1:7000";
    report.limit = 32;
    report.shared_limit = 16;
  }
  return members;
}

/// Time to assign owners to the engines that have no local gate.
nlohmann::json HostCosts() {
  constexpr std::size_t kZones = 17;
  constexpr std::size_t kRounds = 20;
  nlohmann::json rows = nlohmann::json::array();
  for (const auto& [engine_count, host_count] :
       {std::pair{144U, 45U}, std::pair{4900U, 360U}}) {
    std::vector<placement::HostedEngine> engines;
    for (std::size_t i = 0; i < engine_count; ++i) {
      engines.push_back({"10.0." + std::to_string(i) + ":8080",
                         "zone-" + std::to_string(i % kZones)});
    }
    std::vector<placement::HostOption> hosts;
    for (std::size_t i = 0; i < host_count; ++i) {
      hosts.push_back({"10.9." + std::to_string(i) + ":7720",
                       "zone-" + std::to_string(i % kZones)});
    }
    const double nanos = NanosEach(
        kRounds, [&](std::size_t) { placement::ChooseHosts(engines, hosts); });
    rows.push_back({{"engines", engine_count},
                    {"hosts", host_count},
                    {"nanos_each", nanos / engine_count}});
  }
  return rows;
}

nlohmann::json RouterCosts() {
  nlohmann::json rows = nlohmann::json::array();
  for (const std::size_t count : {12U, 128U, 1024U, 4900U}) {
    const auto members = MakeSides(count);
    const double before = HeapBytes();
    entry::RouterCore router({"zone-1", 1, 0.34, 3.0, 0.75});
    router.SetFleet(members, true);
    const double heap = HeapBytes() - before;
    const std::size_t rounds = 400000 / count + 20;
    const double nanos = NanosEach(rounds, [&](std::size_t i) {
      const auto gate =
          router.Choose({"counter", i % 20, {}}, Time(Duration(i)));
      router.Finish(*gate);
    });
    rows.push_back(
        {{"candidates", count}, {"ns", nanos}, {"heap_bytes", heap}});
  }
  return rows;
}

constexpr std::size_t kBenchZones = 3;

std::vector<placement::EngineOption> MakeOptions(std::size_t count) {
  std::vector<placement::EngineOption> options(count);
  for (std::size_t i = 0; i < count; ++i) {
    const std::string number = std::to_string(i);
    options[i].address = "10.0." + number + ":8080";
    options[i].id = "i-" + number;
    options[i].gate = "10.9." + number + ":7720";
    options[i].zone = "zone-" + std::to_string(i % kBenchZones);
    options[i].slots = 8;
  }
  return options;
}

/// Time of a choice of an entry with `slow` of every four replicas slow, and of
/// the whole of what it learns with a reply.
nlohmann::json ChooserCosts() {
  nlohmann::json rows = nlohmann::json::array();
  for (const std::size_t count : {38U, 360U, 5000U}) {
    for (const std::size_t slow : {0U, 1U}) {
      placement::EngineChooser chooser(1);
      const auto options = MakeOptions(count);
      chooser.SetOptions("counter", options);
      const Time start(std::chrono::seconds(100));
      const auto learn = [&](std::size_t i) {
        const std::string& address = options[i % count].address;
        const auto hold =
            std::chrono::milliseconds(i % count % 4 < slow ? 1200 : 500);
        chooser.Reported(address, {3, 0, 2}, start);
        chooser.LearnSpeed("counter", address, {hold, Duration(0), 100}, start);
      };
      for (std::size_t i = 0; i < count * 2; ++i) {
        learn(i);
      }
      const double nanos = NanosEach(400000 / count + 20, [&](std::size_t i) {
        chooser.Choose({"counter"}, "zone-1", {}, start + Duration(i * 100));
      });
      rows.push_back({{"replicas", count},
                      {"slow_of_four", slow},
                      {"choose_ns", nanos},
                      {"learn_ns", NanosEach(20000, learn)}});
    }
  }
  return rows;
}

nlohmann::json GateCosts() {
  nlohmann::json rows = nlohmann::json::array();
  for (const std::uint32_t running : {8U, 32U, 64U}) {
    gate::GateOptions options;
    options.learns = false;
    options.limit.max_concurrent = running;
    options.max_queue = 1000;
    gate::GateCore core(options, Time{});
    for (gate::WorkId id = 1; id < running; ++id) {
      core.Batch({id, Time{}}, Time{});
    }
    const double request = NanosEach(20000, [&](std::size_t i) {
      const gate::WorkId id = 1000 + i;
      core.Online({id, "team", Time::max(), 0}, Time(Duration(i)));
      core.Ended(id, Time(Duration(i)));
    });
    const double token = NanosEach(200000, [&](std::size_t i) {
      core.Token(1 + i % running, Time(Duration(i)));
    });
    rows.push_back(
        {{"running", running}, {"request_ns", request}, {"token_ns", token}});
  }
  return rows;
}

/// A state machine that counts the log bytes of its commands.
struct TestStateMachine {
  storage::MemoryFileSystem files;
  storage::BlobStore blobs{files, "blob"};
  statemachine::StateMachine machine{blobs};
  std::size_t log_bytes = 0;

  statemachine::CommandReply Run(const statemachine::Command& command) {
    const std::string bytes = EncodeVariant(command);
    this->log_bytes += bytes.size();
    return this->machine.Apply(bytes);
  }

  void MakeJob(std::size_t items) {
    std::string lines;
    for (std::size_t i = 0; i < items; ++i) {
      lines += R"({"custom_id":"c)" + std::to_string(i) + R"(","body":{"p":")" +
               std::string(200, 'x') + "\"}}\n";
    }
    this->Run(statemachine::AppendFile{"file", "team", 0, lines, true, 0});
    jobs::JobRequest request;
    request.id = "job";
    request.owner = "team";
    request.key = "key";
    request.service = "counter";
    request.file = "file";
    request.max_items = 1000000;
    this->Run(statemachine::CreateJob{request});
  }
};

nlohmann::json ItemCosts() {
  nlohmann::json rows = nlohmann::json::array();
  constexpr std::size_t kResultBytes = 1000;
  for (const std::size_t items : {4000U, 16000U, 63000U}) {
    TestStateMachine state_machine;
    state_machine.MakeJob(items);
    malloc_trim(0);
    const std::size_t input_log = std::exchange(state_machine.log_bytes, 0);
    const std::size_t state = state_machine.machine.jobs().Save().size();
    std::size_t done = 0;
    std::vector<jobs::ItemOutcome> outcomes;
    const Clock::time_point start = Clock::now();
    while (done < items) {
      statemachine::PullItems pull;
      pull.outcomes = std::exchange(outcomes, {});
      pull.lease = {"gate", 1, "counter", 16, 0, 1000000, {}};
      const auto reply =
          DecodeMessage<statemachine::LeaseReply>(state_machine.Run(pull).body);
      for (const jobs::LeasedItem& item : reply.items) {
        outcomes.push_back(
            {item.key, item.attempt, 0, std::string(kResultBytes, 'r'), {}});
      }
      done += reply.items.size();
      if (reply.items.empty()) {
        break;
      }
    }
    const double nanos =
        std::chrono::duration<double, std::nano>(Clock::now() - start).count();
    rows.push_back(
        {{"items", items},
         {"state_bytes_per_item",
          static_cast<double>(state) / static_cast<double>(items)},
         {"input_log_bytes_per_item",
          static_cast<double>(input_log) / static_cast<double>(items)},
         {"log_bytes_per_item", static_cast<double>(state_machine.log_bytes) /
                                    static_cast<double>(items)},
         {"apply_ns_per_item", nanos / static_cast<double>(items)}});
  }
  return rows;
}

nlohmann::json DocumentCosts() {
  nlohmann::json rows = nlohmann::json::array();
  for (const std::size_t services : {10U, 100U, 1000U}) {
    TestStateMachine state_machine;
    const std::string text(1500, 'd');
    const double nanos = NanosEach(services, [&](std::size_t i) {
      state_machine.Run(statemachine::SubmitDocument{
          "service-" + std::to_string(i), 1, text});
    });
    const double state =
        static_cast<double>(state_machine.machine.documents().Save().size());
    rows.push_back(
        {{"services", services},
         {"apply_ns", nanos},
         {"state_bytes_each", state / static_cast<double>(services)},
         {"log_bytes_each", static_cast<double>(state_machine.log_bytes) /
                                static_cast<double>(services)}});
  }
  return rows;
}

nlohmann::json HeartbeatCosts() {
  nlohmann::json rows = nlohmann::json::array();
  for (const std::size_t members : {30U, 300U, 5260U}) {
    const auto sides = MakeSides(members);
    fleet::FleetTable table(std::chrono::seconds(10));
    const double before = HeapBytes();
    for (const auto& side : sides) {
      table.OnHeartbeat(side.report, Time{});
    }
    const double heap = (HeapBytes() - before) / static_cast<double>(members);
    control::Heartbeat beat;
    beat.report = sides.front().report;
    const std::string bytes = EncodeMessage(beat);
    const double nanos = NanosEach(20000, [&](std::size_t i) {
      const auto heard = DecodeMessage<control::Heartbeat>(bytes);
      table.OnHeartbeat(heard.report, Time(Duration(i)));
      EncodeMessage(control::HeartbeatReply{});
    });
    control::HeartbeatReply list;
    list.members = table.Members(Time{});
    rows.push_back(
        {{"members", members},
         {"ns", nanos},
         {"request_bytes", bytes.size()},
         {"reply_bytes", EncodeMessage(control::HeartbeatReply{}).size()},
         {"list_bytes_per_member",
          static_cast<double>(EncodeMessage(list).size()) /
              static_cast<double>(members)},
         {"heap_per_member", heap}});
  }
  return rows;
}

/// Time to append and sync batches of 1 KB entries on the real disk.
nlohmann::json SyncCosts() {
  nlohmann::json rows = nlohmann::json::array();
  const std::string folder = (std::filesystem::temp_directory_path() /
                              ("papayarack-core-" + std::to_string(getpid())))
                                 .string();
  const auto files = storage::OpenPosixFileSystem(folder);
  consensus::DurableLog log(*files, 0);
  log.Recover();
  consensus::Index index = 0;
  for (const std::size_t batch : {1U, 16U, 256U}) {
    constexpr std::size_t kRounds = 60;
    const double nanos = NanosEach(kRounds, [&](std::size_t) {
      std::vector<consensus::Entry> entries;
      for (std::size_t i = 0; i < batch; ++i) {
        entries.push_back({1, ++index, 1, std::string(1000, 'e')});
      }
      log.Write({}, entries, {});
    });
    rows.push_back({{"entries", batch}, {"sync_us", nanos / 1000}});
  }
  std::filesystem::remove_all(folder);
  return rows;
}

double OnlineMessageBytes() {
  gate::OnlineRequest request;
  request.id = "req-0123456789abcdef";
  request.caller = "kivu";
  request.service = "counter";
  request.body = std::string(600, 'b');
  return static_cast<double>(EncodeMessage(request).size());
}

}  // namespace
}  // namespace papayarack::bench

int main() {
  using namespace papayarack::bench;  // NOLINT(google-build-using-namespace)
  const nlohmann::json result = {
      {"router", RouterCosts()},
      {"gate", GateCosts()},
      {"chooser", ChooserCosts()},
      {"items", ItemCosts()},
      {"documents", DocumentCosts()},
      {"heartbeats", HeartbeatCosts()},
      {"hosts", HostCosts()},
      {"sync", SyncCosts()},
      {"online_message_bytes", OnlineMessageBytes()}};
  std::cout << result.dump(2) << "\n";
  return 0;
}
