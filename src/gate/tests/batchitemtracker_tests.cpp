#include <catch2/catch.hpp>
#include <string>

#include "gate/internal/batchitemtracker.h"

namespace papayarack::gate {
namespace {

constexpr WorkId kId = 1;
constexpr Duration kReadTimeout = std::chrono::seconds(1);

std::string Event(const std::string& text, const std::string& fingerprint) {
  nlohmann::json event = {{"choices", {{{"text", text}}}}};
  if (!fingerprint.empty()) {
    event["system_fingerprint"] = fingerprint;
  }
  return "data: " + event.dump() + "\n\n";
}

bool Resumes(const UpstreamCall& call) {
  return nlohmann::json::parse(call.body).contains("resume");
}

/// A tracker whose item has been preempted after the text "one ".
BatchItemTracker WithPreemptedItem(const std::string& fingerprint) {
  BatchItemTracker tracker("g", 1, "llm", 1000);
  jobs::LeasedItem lease;
  lease.key = {"job", 0};
  lease.line = R"({"custom_id":"c","method":"POST","url":"/v1/completions",)"
               R"("body":{"model":"m","prompt":"p"}})";
  REQUIRE(tracker.Add(kId, lease));
  tracker.MakeCall(kId, kReadTimeout);
  tracker.OnHead(kId, 200);
  tracker.OnBytes(kId, Event("one ", fingerprint));
  tracker.MarkPreempted(kId);
  REQUIRE(tracker.OnEnd(kId, UpstreamEnd::kBroken, ""));
  return tracker;
}

/// The outcome after the second run has delivered "two" and ended.
jobs::ItemOutcome EndOfSecondRun(BatchItemTracker& tracker,
                                 const std::string& fingerprint) {
  tracker.OnHead(kId, 200);
  tracker.OnBytes(kId, Event("two", fingerprint) + "data: [DONE]\n\n");
  REQUIRE_FALSE(tracker.OnEnd(kId, UpstreamEnd::kComplete, ""));
  REQUIRE(tracker.Unreported() == 1);
  return tracker.MakePull(0).outcomes.front();
}

}  // namespace

// Guards against a text that one version of the upstream's software began and
// another continued, after it was replaced while the item was preempted.
TEST_CASE("a preempted item resumes only at the software that began it") {
  SECTION("its text goes on while the upstream stays up") {
    const auto fingerprint = GENERATE(std::string(), std::string("fp-1"));
    BatchItemTracker tracker = WithPreemptedItem(fingerprint);
    CHECK(Resumes(tracker.MakeCall(kId, kReadTimeout)));
    const jobs::ItemOutcome outcome = EndOfSecondRun(tracker, fingerprint);
    CHECK(outcome.End() == jobs::AttemptEnd::kDone);
    CHECK(outcome.line.find("one two") != std::string::npos);
  }
  SECTION("it begins anew after the upstream was down") {
    BatchItemTracker tracker = WithPreemptedItem("");
    tracker.DropTexts();
    CHECK_FALSE(Resumes(tracker.MakeCall(kId, kReadTimeout)));
    const jobs::ItemOutcome outcome = EndOfSecondRun(tracker, "");
    CHECK(outcome.End() == jobs::AttemptEnd::kDone);
    CHECK(outcome.line.find("one") == std::string::npos);
  }
  SECTION("it is returned when the answer names other software") {
    BatchItemTracker tracker = WithPreemptedItem("fp-1");
    CHECK(Resumes(tracker.MakeCall(kId, kReadTimeout)));
    CHECK(EndOfSecondRun(tracker, "fp-2").End() == jobs::AttemptEnd::kReturned);
  }
  SECTION("a text of two versions is not resumed once more") {
    BatchItemTracker tracker = WithPreemptedItem("fp-1");
    tracker.MakeCall(kId, kReadTimeout);
    tracker.OnHead(kId, 200);
    tracker.OnBytes(kId, Event("two ", "fp-2"));
    tracker.MarkPreempted(kId);
    REQUIRE(tracker.OnEnd(kId, UpstreamEnd::kBroken, ""));
    CHECK_FALSE(Resumes(tracker.MakeCall(kId, kReadTimeout)));
  }
}

}  // namespace papayarack::gate
