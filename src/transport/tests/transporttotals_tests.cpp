#include <asio.hpp>
#include <catch2/catch.hpp>
#include <thread>

#include "global/boundedring.h"
#include "transport/backlogmonitor.h"
#include "transport/peerclient.h"
#include "transport/peerserver.h"

namespace papayarack::transport {
namespace {

constexpr std::chrono::seconds kTimeout{20};
constexpr std::chrono::seconds kNever{600};
constexpr std::size_t kPrefix = 4;  ///< Length before each message.

struct Arrived {
  StreamId stream = 0;
  std::string path;
};

struct Server {
  BoundedRing<Arrived> arrived{64};
  BoundedRing<StreamId> cancelled{64};
  PeerServer server{
      {"127.0.0.1", 0},
      {[this](StreamId id, std::string_view path, const std::string&) {
         this->arrived.TryPush({id, std::string(path)});
       },
       [this](StreamId id) { this->cancelled.TryPush(id); }},
      {kNever}};
  Endpoint endpoint() const { return {"127.0.0.1", this->server.port()}; }
};

template <typename Condition>
bool Eventually(const Condition& condition) {
  const auto end = std::chrono::steady_clock::now() + kTimeout;
  while (std::chrono::steady_clock::now() < end) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return condition();
}

PathTotals Of(const TransportTotals& totals, std::string_view path) {
  for (const PathTotals& entry : totals.paths) {
    if (entry.path == path) {
      return entry;
    }
  }
  return {};
}

/// A client that reads only inside ReadUntil.
struct SlowClient {
  SlowClient() : client(this->context, NoTimeouts()) {}
  static PeerClientOptions NoTimeouts() {
    PeerClientOptions options;
    options.ping_after = kNever;
    options.silent_after = kNever;
    return options;
  }
  template <typename Condition>
  bool ReadUntil(const Condition& condition) {
    const auto end = std::chrono::steady_clock::now() + kTimeout;
    while (!condition() && std::chrono::steady_clock::now() < end) {
      this->context.run_one_for(std::chrono::milliseconds(5));
    }
    return condition();
  }
  asio::io_context context;
  PeerClient client;
};

}  // namespace

TEST_CASE("client and server count their traffic, also by path") {
  Server server;
  PeerClient client;
  BoundedRing<std::string> messages{4};
  client.Call(server.endpoint(), "/a", std::string(100000, 'x'),
              {[&messages](std::string message) {
                 messages.TryPush(std::move(message));
               },
               {}});
  const auto request = server.arrived.Pop(kTimeout);
  REQUIRE(request.has_value());
  server.server.Send(request->stream, std::string(50000, 'y'));
  server.server.Send(request->stream, std::string(3000, 'y'));
  REQUIRE(messages.Pop(kTimeout).has_value());
  REQUIRE(messages.Pop(kTimeout).has_value());
  REQUIRE(Eventually([&] {
    return server.server.Totals().unsent_bytes == 0 &&
           client.Totals().unsent_bytes == 0 &&
           server.server.Totals().received_bytes ==
               client.Totals().sent_bytes &&
           client.Totals().received_bytes == server.server.Totals().sent_bytes;
  }));

  const TransportTotals sent = server.server.Totals();
  CHECK(sent.connections == 1);
  CHECK(sent.received_bytes > 100000);
  CHECK(sent.received_bytes < 101000);
  CHECK(sent.sent_bytes > 53000);
  CHECK(sent.sent_bytes < 54000);
  CHECK(Of(sent, "/a").messages == 2);
  CHECK(Of(sent, "/a").bytes == 53000 + 2 * kPrefix);
  CHECK(Of(sent, "/a").unsent_bytes == 0);
  CHECK(client.Totals().connections == 1);
  CHECK(Of(client.Totals(), "/a").messages == 1);
  CHECK(Of(client.Totals(), "/a").bytes == 100000);

  SECTION("finishing a response counts no further message") {
    server.server.Finish(request->stream);
    REQUIRE(Eventually([&] { return server.server.OpenStreams() == 0; }));
    CHECK(Of(server.server.Totals(), "/a").messages == 2);
    CHECK(server.server.Totals().cancelled == 0);
  }
}

// A process grows to its memory limit and no metric shows why. A large message
// goes to a peer that reads nothing, and unsent bytes were not counted.
TEST_CASE("unsent bytes to a slow peer are counted by path") {
  constexpr std::size_t kLarge = std::size_t{32} << 20U;
  /// The stream's window and the kernel's buffers.
  constexpr std::size_t kInTransit = std::size_t{12} << 20U;
  Server server;
  auto client = std::make_unique<SlowClient>();
  std::size_t got = 0;
  const CallId call = client->client.Call(
      server.endpoint(), "/large", "",
      {[&got](const std::string& message) { got += message.size(); }, {}});
  REQUIRE(client->ReadUntil([&] { return server.server.OpenStreams() == 1; }));
  const auto request = server.arrived.Pop(kTimeout);
  REQUIRE(request.has_value());
  server.server.Send(request->stream, std::string(kLarge, 'x'));
  REQUIRE(Eventually(
      [&] { return Of(server.server.Totals(), "/large").messages == 1; }));
  // The window is used up; no data flows until the client reads.
  std::uint64_t before = 0;
  REQUIRE(Eventually([&] {
    const std::uint64_t now = server.server.Totals().sent_bytes;
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    return std::exchange(before, now) == now && now > 0;
  }));
  const TransportTotals stuck = server.server.Totals();
  CHECK(stuck.unsent_bytes > kLarge - kInTransit);
  CHECK(stuck.unsent_bytes <= kLarge + kPrefix);
  CHECK(Of(stuck, "/large").unsent_bytes <= stuck.unsent_bytes);
  BacklogMonitor monitor;
  const Backlog backlog = TotalBacklog(stuck, client->client.Totals());
  CHECK(backlog.path == "/large");
  CHECK(backlog.connections == 2);
  CHECK(monitor.Update(backlog, Time{}) == BacklogMonitor::Change::kBegan);

  SECTION("until the client reads them") {
    REQUIRE(client->ReadUntil([&] { return got == kLarge; }));
    REQUIRE(
        Eventually([&] { return server.server.Totals().unsent_bytes == 0; }));
    CHECK(Of(server.server.Totals(), "/large").unsent_bytes == 0);
    CHECK(server.server.Totals().sent_bytes > kLarge);
  }
  SECTION("until the client cancels the call") {
    // After Finish the server is not notified of the cancellation, but counts
    // it.
    const bool finished = GENERATE(false, true);
    if (finished) {
      server.server.Finish(request->stream);
      REQUIRE(Eventually([&] { return server.server.OpenStreams() == 0; }));
    }
    client->client.Cancel(call);
    REQUIRE(client->ReadUntil(
        [&] { return server.server.Totals().unsent_bytes == 0; }));
    CHECK(server.server.OpenStreams() == 0);
    CHECK(Of(server.server.Totals(), "/large").unsent_bytes == 0);
    CHECK(Of(server.server.Totals(), "/large").cancelled == 1);
    CHECK(server.cancelled.Pop(std::chrono::milliseconds(0)).has_value() ==
          !finished);
  }
  SECTION("until the connection closes") {
    server.server.Finish(request->stream);
    client.reset();
    REQUIRE(
        Eventually([&] { return server.server.Totals().connections == 0; }));
    CHECK(server.server.Totals().unsent_bytes == 0);
    CHECK(Of(server.server.Totals(), "/large").unsent_bytes == 0);
    CHECK(Eventually(
        [&] { return Of(server.server.Totals(), "/large").cancelled == 1; }));
  }
  CHECK(monitor.Update(TotalBacklog(server.server.Totals(), {}), Time{}) ==
        BacklogMonitor::Change::kGone);
}

TEST_CASE("cancelled calls are counted by client and server") {
  Server server;
  auto client = std::make_unique<PeerClient>();
  const CallId call = client->Call(server.endpoint(), "/watch", "", {});
  client->Call(server.endpoint(), "/other", "", {});
  REQUIRE(server.arrived.Pop(kTimeout).has_value());
  REQUIRE(server.arrived.Pop(kTimeout).has_value());
  client->Cancel(call);
  REQUIRE(server.cancelled.Pop(kTimeout).has_value());
  CHECK(client->Totals().cancelled == 1);
  CHECK(Of(client->Totals(), "/watch").cancelled == 1);
  CHECK(server.server.Totals().cancelled == 1);
  CHECK(Of(server.server.Totals(), "/watch").cancelled == 1);

  SECTION("cancelling again changes nothing") {
    client->Cancel(call);
    client->Call(server.endpoint(), "/after", "", {});
    REQUIRE(server.arrived.Pop(kTimeout).has_value());
    CHECK(client->Totals().cancelled == 1);
  }
  SECTION("closing a connection cancels its open requests") {
    client.reset();
    REQUIRE(server.cancelled.Pop(kTimeout).has_value());
    CHECK(server.server.Totals().cancelled == 2);
    CHECK(Of(server.server.Totals(), "/other").cancelled == 1);
  }
}

TEST_CASE("the table of paths is bounded and holds only valid label values") {
  constexpr std::size_t kPaths = kMaxPaths + 8;
  Server server;
  PeerClient client;
  std::vector<std::string> paths = {"/with\"quote"};
  for (std::size_t i = 0; i < kPaths; ++i) {
    paths.push_back("/path-" + std::to_string(i));
  }
  for (const std::string& path : paths) {
    client.Call(server.endpoint(), path, "", {});
    const auto request = server.arrived.Pop(kTimeout);
    REQUIRE(request.has_value());
    server.server.Send(request->stream, "x");
    server.server.Finish(request->stream);
    REQUIRE(Eventually([&] { return server.server.OpenStreams() == 0; }));
  }
  REQUIRE(Eventually([&] {
    std::uint64_t messages = 0;
    for (const PathTotals& path : server.server.Totals().paths) {
      messages += path.messages;
    }
    return messages == paths.size();
  }));
  const TransportTotals totals = server.server.Totals();
  CHECK(totals.paths.size() == kMaxPaths + 1);
  CHECK(Of(totals, kOtherPaths).messages == paths.size() - kMaxPaths);
  CHECK(Of(totals, "/path-0").messages == 1);
  CHECK(Of(totals, "/with\"quote").messages == 0);
}

TEST_CASE("the begin and the end of a backlog are reported once each") {
  using Change = BacklogMonitor::Change;
  BacklogMonitor monitor;
  const auto update = [&monitor](std::uint64_t bytes) {
    return monitor.Update({bytes, 1, "/a", bytes}, Time{});
  };
  CHECK(update(kBacklogWarnBytes) == Change::kNone);
  CHECK(update(kBacklogWarnBytes + 1) == Change::kBegan);
  CHECK(update(kBacklogWarnBytes * 20) == Change::kNone);
  CHECK(update(kBacklogWarnBytes / 2) == Change::kNone);
  CHECK(update(kBacklogWarnBytes * 2) == Change::kNone);
  CHECK(update(kBacklogWarnBytes / 2 - 1) == Change::kGone);
  CHECK(update(0) == Change::kNone);
  CHECK(update(kBacklogWarnBytes - 1) == Change::kNone);
  CHECK(update(kBacklogWarnBytes + 1) == Change::kBegan);
}

TEST_CASE("a backlog sums client and server and names its largest path") {
  const TransportTotals server{
      1, 2, 300, 4, 0, {{"/a", 1, 1, 100, 0}, {"/b", 1, 1, 150, 0}}};
  const TransportTotals client{1, 2, 90, 3, 0, {{"/a", 1, 1, 80, 0}}};
  const Backlog both = TotalBacklog(server, client);
  CHECK(both.unsent_bytes == 390);
  CHECK(both.connections == 7);
  CHECK(both.path == "/a");
  CHECK(both.path_unsent_bytes == 180);
  CHECK(TotalBacklog({}, {}).path.empty());
}

TEST_CASE("the totals of a process are exported as counters and gauges") {
  const TransportTotals server{1000, 20, 300, 4, 6, {{"/a", 5, 900, 100, 6}}};
  const TransportTotals client{1, 2, 90, 3, 7, {{"/b", 1, 1, 80, 7}}};
  Metrics metrics;
  ExportTransportMetrics(server, client, metrics);
  // A second export must set the totals again, not add to them.
  ExportTransportMetrics(server, client, metrics);
  const std::string text = "\n" + metrics.Exposition();
  for (const char* line :
       {"peer_sent_bytes_total 1001", "peer_received_bytes_total 22",
        "peer_unsent_bytes 390", "peer_connections 7",
        "peer_cancelled_calls_total 7", "peer_cancelled_requests_total 6",
        "peer_path_sent_messages_total{path=\"/a\"} 5",
        "peer_path_sent_bytes_total{path=\"/a\"} 900",
        "peer_path_unsent_bytes{path=\"/a\"} 100",
        "peer_path_cancelled_requests_total{path=\"/a\"} 6",
        "peer_path_cancelled_calls_total{path=\"/b\"} 7"}) {
    INFO(line);
    CHECK(text.find("\npapayarack_" + std::string(line) + "\n") !=
          std::string::npos);
  }
}

}  // namespace papayarack::transport
