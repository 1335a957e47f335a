#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <thread>

#include "control/controlclient.h"
#include "control/controlserver.h"
#include "transport/peerserver.h"

namespace papayarack::control {
namespace {

constexpr std::chrono::milliseconds kTimeout{20000};

/// Returns a loopback address for this process alone. Guards against "Address
/// already in use" when other tests run in parallel: members must know the
/// ports of each other before they start, so a free port is found first and
/// bound later. In between, another process could take it, even as the source
/// port of an outgoing connection; those use 127.0.0.1.
std::string OwnHost() {
  const int process = getpid();
  const auto part = [process](int shift) {
    return std::to_string(((process >> shift) & 0x7F) + 1);
  };
  return "127." + part(14) + "." + part(7) + "." + part(0);
}

std::string FreeAddress() {
  const transport::PeerServer probe({OwnHost(), 0}, {});
  return OwnHost() + ":" + std::to_string(probe.port());
}

/// A few control members in one process, with real files and sockets.
class Members {
 public:
  explicit Members(std::size_t count) {
    for (std::size_t i = 1; i <= count; ++i) {
      this->list.push_back({i, FreeAddress()});
    }
    for (std::size_t i = 1; i <= count; ++i) {
      FormatDataFolder(this->SettingsOf(i), i, false);
      this->Start(i);
    }
  }
  ~Members() {
    this->servers.clear();
    std::filesystem::remove_all(this->root);
  }
  Settings SettingsOf(std::uint64_t id) const {
    Settings settings;
    settings.role = "control";
    settings.name = "c" + std::to_string(id);
    settings.control = this->list;
    settings.peer_listen = this->list.at(id - 1).address;
    settings.data_folder = this->root + "/" + std::to_string(id);
    settings.election = std::chrono::milliseconds(300);
    return settings;
  }
  void Start(std::uint64_t id) {
    this->servers[id] =
        std::make_unique<ControlServer>(this->SettingsOf(id), this->metrics);
  }
  std::uint64_t Leader() {
    for (int i = 0; i < 200; ++i) {
      for (auto& [id, server] : this->servers) {
        const nlohmann::json dump = server->Dump();
        if (dump["groups"][0]["confirmed_by_quorum"] == true) {
          return id;
        }
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return 0;
  }

  std::vector<ControlMemberSettings> list;
  std::map<std::uint64_t, std::unique_ptr<ControlServer>> servers;
  transport::PeerClient client;

 private:
  std::string root = (std::filesystem::temp_directory_path() /
                      ("papayarack-control-" + std::to_string(getpid())))
                         .string();
  Metrics metrics;
};

statemachine::SubmitDocument Version(std::uint64_t version) {
  return {"counter", version, "text " + std::to_string(version)};
}

}  // namespace

TEST_CASE("three control members on real files and sockets") {
  Members members(3);
  ControlClient control(members.client, members.list);
  REQUIRE(control.Run(Version(1), kTimeout).code == 0);

  SECTION("answer a confirmed read with the accepted document") {
    const auto reply = control.Ask(QueryDocument{"counter"}, kTimeout);
    CHECK(DecodeMessage<documents::AcceptedDocument>(reply.body).text ==
          "text 1");
  }
  // Guards against an accepted document that is lost or reverted: the leader
  // fails right after the acknowledgement and comes back later with its old
  // state, because the answer was sent before a majority had synced the entry.
  SECTION(
      "keep acknowledged documents when the leader fails and when it comes "
      "back") {
    const std::uint64_t leader = members.Leader();
    REQUIRE(leader != 0);
    members.servers.erase(leader);
    CHECK(control.Run(Version(2), kTimeout).code == 0);
    members.Start(leader);
    CHECK(control.Run(Version(2), kTimeout).code == 0);
    CHECK(control.Run(Version(1), kTimeout).code == 0);
    const auto reply = control.Ask(QueryDocument{"counter"}, kTimeout);
    CHECK(DecodeMessage<documents::AcceptedDocument>(reply.body).text ==
          "text 2");
  }
  SECTION(
      "answer the heartbeat of a process with changed documents and the "
      "fleet") {
    Heartbeat heartbeat;
    heartbeat.report.name = "side-1";
    heartbeat.report.role = "entry";
    const auto reply = control.SendHeartbeat(heartbeat, kTimeout);
    const auto body = DecodeMessage<HeartbeatReply>(reply.body);
    CHECK(body.documents.revision == 1);
    CHECK(body.documents.changes.size() == 1);
    CHECK(body.members.size() == 1);
  }
  SECTION("refuse to start on a folder that was never formatted") {
    Settings settings = members.SettingsOf(1);
    settings.data_folder += "-wiped";
    Metrics metrics;
    CHECK_THROWS_AS(ControlServer(settings, metrics), ResultError);
    std::filesystem::remove_all(settings.data_folder);
  }
}

}  // namespace papayarack::control
