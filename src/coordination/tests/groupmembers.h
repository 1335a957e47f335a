#ifndef PAPAYARACK_COORDINATION_TESTS_GROUPMEMBERS_H_
#define PAPAYARACK_COORDINATION_TESTS_GROUPMEMBERS_H_

#include <fmt/format.h>

#include <asio.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "coordination/coordinator.h"
#include "coordination/fleetwatch.h"
#include "global/timepoint.h"
#include "storage/memoryfilesystem.h"

/// Members of a coordination group and other processes, all on one loop.
namespace papayarack::coordination {

using std::chrono::milliseconds;

/// Time within which a change must be in force after its acknowledgement.
constexpr milliseconds kInForce{2000};
constexpr milliseconds kElected{3000};

inline std::string Text(std::size_t bytes, std::uint32_t seed) {
  std::mt19937 random(seed);
  std::string text;
  while (text.size() < bytes) {
    text += fmt::format("{:08x}{:08x}\n", random(), random());
  }
  return text;
}

inline NodeReport Report(const std::string& name, const std::string& address) {
  NodeReport report;
  report.name = name;
  report.address = address;
  report.zone = "z";
  report.incarnation = 1;
  return report;
}

/// A process's server and client for calls between processes.
struct Host {
  explicit Host(asio::io_context& context)
      : owned(context, {"127.0.0.1", 0}, this->dispatch.For(this->server)),
        peers(context) {
    this->server = &this->owned;
  }
  std::string Address() const {
    return fmt::format("127.0.0.1:{}", this->owned.port());
  }
  void Answer(transport::StreamId stream, const std::string& message) {
    this->server->Send(stream, message);
    this->server->Finish(stream);
  }

  transport::PeerDispatch dispatch;
  transport::PeerServer* server = nullptr;
  transport::PeerServer owned;
  transport::PeerClient peers;
};

/// A member of the coordination group.
struct Member {
  Member(asio::io_context& context, consensus::MemberId id)
      : host(context), id(id) {}

  void Found(asio::io_context& context, const consensus::MemberList& members,
             ListEngines list) {
    consensus::CreateGroup(this->files, kCoordinationGroup, members);
    consensus::WriteIdentity(this->files, {this->id, "test"});
    CoordinatorOptions options;
    options.member = this->id;
    options.has_disk = true;
    options.address = this->host.Address();
    options.random_seed = this->id;
    options.seeds = [members] {
      std::vector<std::string> seeds;
      for (const consensus::Member& member : members.members) {
        seeds.push_back(member.address);
      }
      return seeds;
    };
    this->coordinator = std::make_unique<Coordinator>(
        context, this->files, options, this->host.peers, this->host.server,
        this->host.dispatch, std::move(list),
        [](const std::string& reason) { FAIL(reason); });
  }

  Host host;
  consensus::MemberId id;
  storage::MemoryFileSystem files;
  std::unique_ptr<Coordinator> coordinator;
};

inline milliseconds RunUntil(asio::io_context& context,
                             const std::function<bool()>& done,
                             milliseconds limit) {
  constexpr milliseconds kSlice{5};
  const Time start = MonotonicNow();
  const auto passed = [start] {
    return std::chrono::duration_cast<milliseconds>(MonotonicNow() - start);
  };
  while (!done() && passed() < limit) {
    context.run_for(kSlice);
    context.restart();
  }
  return passed();
}

inline void RunFor(asio::io_context& context, milliseconds time) {
  RunUntil(
      context, [] { return false; }, time);
}

/// Sends the configurations without waiting between them, then waits for all
/// replies.
inline void SubmitAtOnce(asio::io_context& context, Host& to,
                         const std::vector<SubmitConfiguration>& all) {
  std::size_t ended = 0;
  for (const SubmitConfiguration& one : all) {
    transport::CallHandlers handlers;
    handlers.on_end = [&ended](transport::CallEnd) { ++ended; };
    to.peers.Call({"127.0.0.1", to.owned.port()}, "/coordination/submit",
                  EncodeMessage(one), std::move(handlers));
  }
  RunUntil(
      context, [&] { return ended == all.size(); }, kElected);
  REQUIRE(ended == all.size());
}

inline void Submit(asio::io_context& context, Host& to, std::uint64_t version,
                   const std::string& text) {
  SubmitAtOnce(context, to, {{version, text}});
}

inline ListEngines NoReplicas() {
  return [](const auto& done) { done(std::vector<EngineInstance>{}); };
}

}  // namespace papayarack::coordination

#endif  // PAPAYARACK_COORDINATION_TESTS_GROUPMEMBERS_H_
