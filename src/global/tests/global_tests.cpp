#include <algorithm>
#include <catch2/catch.hpp>

#include "global/boundedring.h"
#include "global/jsonschema.h"
#include "global/messagecodec.h"
#include "global/metrics.h"
#include "global/resultcode.h"
#include "global/settings.h"
#include "global/timepoint.h"

namespace papayarack {

TEST_CASE("settings") {
  nlohmann::json document = {
      {"role", "side"},
      {"name", "side-1"},
      {"peer_listen", "127.0.0.1:7101"},
      {"control", {{{"id", 1}, {"address", "127.0.0.1:7001"}}}},
      {"upstreams",
       {{{"service", "counter"},
         {"address", "127.0.0.1:9001"},
         {"gate_listen", "127.0.0.1:7101"}}}}};
  SECTION("that are valid are read") {
    const Settings settings = ParseSettings(document);
    CHECK(settings.upstreams.at(0).service == "counter");
    CHECK(settings.control.at(0).id == 1);
  }
  SECTION("with several errors report each error with its JSON pointer") {
    document["colour"] = "red";
    document["heartbeat_ms"] = "soon";
    document["upstreams"][0]["kind"] = "steam";
    std::string text;
    try {
      ParseSettings(document);
    } catch (const ResultError& error) {
      CHECK(error.result().code == ResultCode::kBadInput);
      text = error.what();
    }
    CHECK(text.find("colour") != std::string::npos);
    CHECK(text.find("/heartbeat_ms") != std::string::npos);
    CHECK(text.find("/upstreams/0/kind") != std::string::npos);
  }
  SECTION("that are not JSON report line and column") {
    CHECK_THROWS_WITH(ParseJson("{\n \"a\": ]", "settings"),
                      Catch::Contains("line 2") && Catch::Contains("column"));
  }
}

TEST_CASE("an endpoint consists of host and port") {
  CHECK(ParseEndpoint("127.0.0.1:80", "/x").port == 80);
  CHECK_THROWS_AS(ParseEndpoint("127.0.0.1", "/x"), ResultError);
  CHECK_THROWS_AS(ParseEndpoint("127.0.0.1:99999", "/x"), ResultError);
  CHECK_THROWS_AS(ParseEndpoint("127.0.0.1:8a", "/x"), ResultError);
}

TEST_CASE("a bounded ring") {
  BoundedRing<int> ring(2);
  REQUIRE(ring.TryPush(1));
  REQUIRE(ring.TryPush(2));
  SECTION("refuses elements when it is full and loses none") {
    CHECK_FALSE(ring.TryPush(3));
    CHECK(ring.PopAll(Duration(0)) == std::vector<int>{1, 2});
  }
  SECTION("returns its remaining elements after it is closed, then nothing") {
    ring.Close();
    CHECK_FALSE(ring.TryPush(3));
    CHECK(ring.Pop(Duration(0)) == 1);
    CHECK(ring.Pop(Duration(0)) == 2);
    CHECK(ring.Pop(Duration(0)) == std::nullopt);
  }
}

struct OldMessage {
  std::uint64_t id = 0;
  MSGPACK_DEFINE(id)
};
struct NewMessage {
  std::uint64_t id = 0;
  std::string note = "none";
  MSGPACK_DEFINE(id, note)
};

TEST_CASE("messages between two releases") {
  SECTION("an older reader ignores fields added at the end") {
    CHECK(DecodeMessage<OldMessage>(EncodeMessage(NewMessage{7, "x"})).id == 7);
  }
  SECTION("a newer reader keeps its defaults for fields that are missing") {
    CHECK(DecodeMessage<NewMessage>(EncodeMessage(OldMessage{7})).note ==
          "none");
  }
  SECTION("malformed bytes cause an error, not a crash") {
    CHECK_THROWS_AS(DecodeMessage<NewMessage>("\xc1\xff junk"), ResultError);
    CHECK_THROWS_AS(DecodeMessage<NewMessage>(""), ResultError);
  }
}

TEST_CASE("a byte stream is split into messages regardless of its chunks") {
  const std::string stream =
      MessageSplitter::Frame("alpha") + MessageSplitter::Frame("");
  MessageSplitter splitter;
  std::vector<std::string> messages;
  for (const char byte : stream) {
    splitter.Add(std::string_view(&byte, 1));
    std::string message;
    while (splitter.Next(message)) {
      messages.push_back(message);
    }
  }
  CHECK(messages == std::vector<std::string>{"alpha", ""});
  splitter.Add("\xff\xff\xff\xff");
  std::string message;
  CHECK_THROWS_AS(splitter.Next(message), ResultError);
}

TEST_CASE("result codes are distinct and ascending") {
  int last = -1;
  for (const ResultCodeInfo& info : AllResultCodes()) {
    CHECK(static_cast<int>(info.code) > last);
    last = static_cast<int>(info.code);
    CHECK(Describe(info.code).name == info.name);
  }
}

TEST_CASE("docs/RESULT_CODES.md matches the table of result codes") {
  const std::string page = ReadWholeFile(std::string(PAPAYARACK_SOURCE_DIR) +
                                         "/docs/RESULT_CODES.md");
  std::size_t rows = 0;
  for (const ResultCodeInfo& info : AllResultCodes()) {
    const std::string row =
        "| " + std::to_string(static_cast<int>(info.code)) + " | " +
        std::string(info.name) + " | " + std::to_string(info.http_status) +
        " | " + (info.not_run ? "yes" : "no") + " | " +
        std::string(info.meaning) + " | " + std::string(info.advice) + " |\n";
    CHECK(page.find(row) != std::string::npos);
    ++rows;
  }
  constexpr std::size_t kHeaderRows = 2;
  CHECK(static_cast<std::size_t>(std::ranges::count(page, '\n')) >=
        rows + kHeaderRows);
  CHECK(static_cast<std::size_t>(std::ranges::count(page, '|')) ==
        (rows + kHeaderRows) * 7);
}

TEST_CASE("the exposition contains counters, gauges and quantiles") {
  Metrics metrics;
  metrics.Add("requests_total", 2);
  metrics.Set("queue_requests", 3);
  for (int i = 1; i <= 1000; ++i) {
    metrics.Observe("wait_seconds", i / 1000.0);
  }
  const std::string text = metrics.Exposition();
  CHECK(text.find("papayarack_requests_total 2") != std::string::npos);
  CHECK(text.find("papayarack_queue_requests 3") != std::string::npos);
  CHECK(text.find("papayarack_wait_seconds_count 1000") != std::string::npos);
}

TEST_CASE("names that differ only in labels share one TYPE line") {
  Metrics metrics;
  metrics.SetTotal("sent_bytes_total{path=\"/b\"}", 7);
  metrics.SetTotal("sent_bytes_total{path=\"/a\"}", 3);
  metrics.SetTotal("sent_bytes_total{path=\"/a\"}", 5);
  metrics.Add("sent_bytes_total_of_others_total");
  metrics.Set("unsent_bytes{path=\"/a\"}", 2);
  CHECK(metrics.Exposition() ==
        "# TYPE papayarack_sent_bytes_total_of_others_total counter\n"
        "papayarack_sent_bytes_total_of_others_total 1\n"
        "# TYPE papayarack_sent_bytes_total counter\n"
        "papayarack_sent_bytes_total{path=\"/a\"} 5\n"
        "papayarack_sent_bytes_total{path=\"/b\"} 7\n"
        "# TYPE papayarack_unsent_bytes gauge\n"
        "papayarack_unsent_bytes{path=\"/a\"} 2\n");
}

}  // namespace papayarack
