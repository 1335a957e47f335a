#include <catch2/catch.hpp>

#include "entry/onlinecall.h"
#include "global/variantcodec.h"
#include "transport/peerserver.h"

namespace papayarack::entry {
namespace {

constexpr std::chrono::seconds kPatience{20};

/// A gate that the test plays.
struct FakeGate {
  struct Seen {
    transport::StreamId stream = 0;
    gate::OnlineRequest request;
  };
  BoundedRing<Seen> seen{64};
  BoundedRing<std::string> cancelled{64};
  transport::PeerServer server{
      {"127.0.0.1", 0},
      {[this](transport::StreamId stream, std::string_view path,
              const std::string& body) {
         if (path == gate::path::kCancel) {
           this->cancelled.TryPush(DecodeMessage<gate::CancelRequest>(body).id);
           this->server.Finish(stream);
         } else {
           this->seen.TryPush(
               {stream, DecodeMessage<gate::OnlineRequest>(body)});
         }
       },
       [](transport::StreamId) {}}};

  void Send(transport::StreamId stream, const gate::GateMessage& message) {
    this->server.Send(stream, EncodeVariant(message));
  }
  fleet::FleetMember Member(const std::string& name) const {
    fleet::FleetMember member;
    member.report.name = name;
    member.report.role = "side";
    member.report.service = "counter";
    member.report.limit = 4;
    member.report.address = "127.0.0.1:" + std::to_string(this->server.port());
    return member;
  }
};

struct Setup {
  FakeGate first;
  FakeGate second;
  FleetView fleet{RouterOptions{}};
  transport::PeerClient client;
  Metrics metrics;

  OnlineCall Call(bool repeatable) {
    gate::OnlineRequest request;
    request.id = "r1";
    request.service = "counter";
    request.deadline_ms = 20000;
    return {this->fleet,        this->client, this->metrics,
            std::move(request), repeatable,   0};
  }
  void OnlyFirst() {
    this->fleet.TakeFleet({this->first.Member("first")}, true);
  }
  void Both() {
    this->fleet.TakeFleet(
        {this->first.Member("first"), this->second.Member("second")}, true);
  }
  /// The gate that the request came to.
  std::pair<FakeGate*, FakeGate::Seen> Arrived() {
    for (int i = 0; i < 2000; ++i) {
      for (FakeGate* gate : {&this->first, &this->second}) {
        if (auto seen = gate->seen.Pop(std::chrono::milliseconds(5))) {
          return {gate, *seen};
        }
      }
    }
    return {nullptr, {}};
  }
};

template <typename Piece>
Piece Expect(OnlineCall& call) {
  CallPiece piece = call.Next();
  REQUIRE(std::holds_alternative<Piece>(piece));
  return std::get<Piece>(piece);
}

}  // namespace

TEST_CASE("a request that a gate refuses as not run goes to another gate") {
  Setup setup;
  setup.Both();
  OnlineCall call = setup.Call(false);
  std::thread gates([&] {
    auto [refusing, request] = setup.Arrived();
    refusing->Send(request.stream, gate::Refused{200, "full", 100, 0});
    refusing->server.Finish(request.stream);
    auto [answering, again] = setup.Arrived();
    CHECK(answering != refusing);
    CHECK(again.request.attempt == 2);
    answering->Send(again.stream, gate::AnswerHead{200, "text/plain"});
    answering->Send(again.stream, gate::AnswerBytes{"yes"});
    answering->Send(again.stream, gate::AnswerEnd{});
    answering->server.Finish(again.stream);
  });
  CHECK(Expect<CallHead>(call).status == 200);
  CHECK(Expect<CallBytes>(call).bytes == "yes");
  Expect<CallWhole>(call);
  gates.join();
}

// Symptom: a caller takes half an answer for the whole. Sequence: the upstream
// dies in the middle of the answer. Cause: a stream that ends looks like a
// stream that was finished.
TEST_CASE(
    "an answer that ends without its last message is a failure, never whole") {
  Setup setup;
  setup.OnlyFirst();
  OnlineCall call = setup.Call(true);
  std::thread gate([&] {
    auto [gate, request] = setup.Arrived();
    gate->Send(request.stream, gate::AnswerHead{200, "text/plain"});
    gate->Send(request.stream, gate::AnswerBytes{"half"});
    gate->Send(request.stream, gate::AnswerEnd{301, "the upstream died"});
    gate->server.Finish(request.stream);
  });
  Expect<CallHead>(call);
  Expect<CallBytes>(call);
  const auto failed = Expect<CallFailed>(call);
  CHECK(failed.result.code == ResultCode::kUpstreamFailed);
  CHECK_FALSE(failed.not_run);
  gate.join();
}

// Symptom: a payment posts twice. Sequence: the gate takes the request and its
// connection breaks; the gate has been restarted when the entry comes back.
// Cause: the entry sends the request again.
TEST_CASE(
    "a request that may not be repeated is only taken up, never run anew") {
  Setup setup;
  setup.OnlyFirst();
  OnlineCall call = setup.Call(false);
  std::thread gate([&] {
    auto [gate, request] = setup.Arrived();
    CHECK_FALSE(request.request.resume_only);
    gate->server.Finish(request.stream);  // Nothing was said: as good as lost.
    for (int i = 0; i < 3; ++i) {
      auto [same, again] = setup.Arrived();
      CHECK(again.request.resume_only);
      CHECK(again.request.attempt == 1);
      same->server.Finish(again.stream);
    }
  });
  const auto failed = Expect<CallFailed>(call);
  CHECK(failed.result.code == ResultCode::kUnknownOutcome);
  CHECK_FALSE(failed.not_run);
  gate.join();
}

TEST_CASE("an answer is taken up where it was after its connection broke") {
  Setup setup;
  setup.OnlyFirst();
  OnlineCall call = setup.Call(true);
  std::thread gate([&] {
    auto [gate, request] = setup.Arrived();
    gate->Send(request.stream, gate::AnswerHead{200, "text/plain"});
    gate->Send(request.stream, gate::AnswerBytes{"one "});
    gate->server.Finish(request.stream);
    auto [same, again] = setup.Arrived();
    CHECK(again.request.received_messages == 2);
    same->Send(again.stream, gate::AnswerBytes{"two"});
    same->Send(again.stream, gate::AnswerEnd{});
    same->server.Finish(again.stream);
  });
  Expect<CallHead>(call);
  CHECK(Expect<CallBytes>(call).bytes == "one ");
  CHECK(Expect<CallBytes>(call).bytes == "two");
  Expect<CallWhole>(call);
  gate.join();
}

// Symptom: "not run" is said of a request that ran. Sequence: the first attempt
// may have run, the repeat finds no gate. Cause: the last attempt's refusal is
// reported for the whole request.
TEST_CASE("not run is never said when an earlier attempt may have run") {
  Setup setup;
  setup.OnlyFirst();
  OnlineCall call = setup.Call(true);
  std::thread gate([&] {
    auto [gate, request] = setup.Arrived();
    gate->Send(request.stream, gate::AnswerEnd{301, "the upstream died"});
    gate->server.Finish(request.stream);
  });
  const auto failed = Expect<CallFailed>(call);
  CHECK_FALSE(failed.not_run);
  CHECK(failed.result.code == ResultCode::kUnknownOutcome);
  gate.join();
}

TEST_CASE("a caller that goes away cancels the work at the gate") {
  Setup setup;
  setup.OnlyFirst();
  {
    OnlineCall call = setup.Call(true);
    std::thread gate([&] {
      auto [gate, request] = setup.Arrived();
      gate->Send(request.stream, gate::AnswerHead{200, "text/plain"});
    });
    Expect<CallHead>(call);
    gate.join();
  }
  CHECK(setup.first.cancelled.Pop(kPatience) == "r1");
}

TEST_CASE("no gate: the refusal says not run and when to come back") {
  Setup setup;
  OnlineCall call = setup.Call(true);
  const auto failed = Expect<CallFailed>(call);
  CHECK(failed.result.code == ResultCode::kNoUpstream);
  CHECK(failed.not_run);
  CHECK(failed.result.retry_after.count() > 0);
}

}  // namespace papayarack::entry
