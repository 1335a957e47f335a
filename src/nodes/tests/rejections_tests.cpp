#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "nodes/rejections.h"
#include "placement/admission.h"

namespace papayarack::nodes {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kGateWait{120};
constexpr milliseconds kCallerWait{5000};

Time At(int ms) { return Time(std::chrono::seconds(1000) + milliseconds(ms)); }

/// Value of a metric, or nothing if it has never been counted.
std::string ValueOf(const Metrics& metrics, const std::string& name) {
  const std::string text = "\n" + metrics.Exposition();
  const std::string line = "\npapayarack_" + name + " ";
  const std::size_t at = text.find(line);
  if (at == std::string::npos) {
    return "";
  }
  const std::size_t begin = at + line.size();
  return text.substr(begin, text.find('\n', begin) - begin);
}

/// Rejects during two peaks of two seconds, six seconds apart; the second lasts
/// for half a second only. Returns the last Retry-After.
std::string Peaks(Rejections& rejections, RejectedRequest request) {
  std::string last;
  for (int ms = 0; ms < 6500; ms += 50) {
    if (ms >= 2000 && ms < 6000) {
      continue;
    }
    rejections.Served(At(ms));
    request.deadline = At(ms) + kCallerWait;
    last = std::string(
        rejections.NoSlot(request, 0.5, At(ms)).headers.Get("Retry-After"));
  }
  return last;
}

std::string Usual(std::optional<milliseconds> wait) {
  return fmt::format("{:.2f}", ToSeconds(placement::RetryAfter(wait, 0.5)));
}

}  // namespace

// Guards against callers who return into the peak in which they were rejected,
// and against times learned from rejections that say nothing about slots.
TEST_CASE("what a caller without a slot is told") {
  Metrics metrics;
  Rejections rejections(metrics);
  RejectedRequest request;
  request.id = "r1";
  request.reason = "no slot came free in time";
  request.of_organisation = true;
  request.shortest_wait = kGateWait;
  request.deadline = At(0) + kCallerWait;

  SECTION("the request did not run, why, and when to return") {
    const http::HttpResponse response = rejections.NoSlot(request, 0.5, At(0));
    CHECK(response.status == 503);
    CHECK(response.body == request.reason);
    CHECK(response.headers.Get("Retry-After") == Usual(kGateWait));
  }
  SECTION("to return after the peak, once peaks are known") {
    // The second peak has 1.5 s left.
    CHECK(std::stod(Peaks(rejections, request)) > 1.4);
    CHECK(ValueOf(metrics, "online_returns_learned_total") == "10");
  }
  SECTION("no learned time if it is anonymous") {
    request.of_organisation = false;
    CHECK(Peaks(rejections, request) == Usual(kGateWait));
    CHECK(ValueOf(metrics, "online_returns_learned_total").empty());
  }
  SECTION("no learned time if no gate said that its slots are taken") {
    request.shortest_wait.reset();
    CHECK(Peaks(rejections, request) == Usual(std::nullopt));
    CHECK(ValueOf(metrics, "online_returns_learned_total").empty());
  }
  SECTION("to begin anew at once if its stream cannot go on") {
    const http::HttpResponse response = rejections.NoContinuation(request);
    CHECK(response.status == 503);
    CHECK(response.headers.Get("Retry-After") == "0.05");
  }
}

// Guards against a request that crashes replicas and is sent again before its
// quarantine ends.
TEST_CASE("what the caller of a quarantined request is told") {
  const http::HttpResponse response =
      Rejections::Quarantined("it crashes the replicas that run it");
  CHECK(response.status == 503);
  CHECK(response.headers.Get("Retry-After") == "600");
  CHECK(response.body == "it crashes the replicas that run it");
}

}  // namespace papayarack::nodes
