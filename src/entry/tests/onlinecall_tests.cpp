#include <catch2/catch.hpp>

#include "entry/onlinecall.h"
#include "global/variantcodec.h"
#include "transport/peerserver.h"

namespace papayarack::entry {
namespace {

constexpr std::chrono::seconds kTimeout{20};

/// A gate server whose answers are sent by the test.
struct FakeGate {
  struct ReceivedRequest {
    transport::StreamId stream = 0;
    gate::OnlineRequest request;
  };
  BoundedRing<ReceivedRequest> received{64};
  BoundedRing<std::string> cancelled{64};
  transport::PeerServer server{
      {"127.0.0.1", 0},
      {[this](transport::StreamId stream, std::string_view path,
              const std::string& body) {
         if (path == gate::path::kCancel) {
           this->cancelled.TryPush(DecodeMessage<gate::CancelRequest>(body).id);
           this->server.Finish(stream);
         } else {
           this->received.TryPush(
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

struct Fixture {
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
  void UseFirstGate() {
    this->fleet.UpdateFleet({this->first.Member("first")}, true);
  }
  void UseBothGates() {
    this->fleet.UpdateFleet(
        {this->first.Member("first"), this->second.Member("second")}, true);
  }
  /// Waits for a request and returns the gate that received it.
  std::pair<FakeGate*, FakeGate::ReceivedRequest> WaitForRequest() {
    for (int i = 0; i < 2000; ++i) {
      for (FakeGate* gate : {&this->first, &this->second}) {
        if (auto received = gate->received.Pop(std::chrono::milliseconds(5))) {
          return {gate, *received};
        }
      }
    }
    return {nullptr, {}};
  }
};

template <typename Event>
Event Expect(OnlineCall& call) {
  CallEvent event = call.Next();
  REQUIRE(std::holds_alternative<Event>(event));
  return std::get<Event>(event);
}

}  // namespace

TEST_CASE("a request that a gate refuses as not run is sent to another gate") {
  Fixture fixture;
  fixture.UseBothGates();
  OnlineCall call = fixture.Call(false);
  std::thread gates([&] {
    auto [refusing, request] = fixture.WaitForRequest();
    refusing->Send(request.stream, gate::Refused{200, "full", 100, 0});
    refusing->server.Finish(request.stream);
    auto [answering, again] = fixture.WaitForRequest();
    CHECK(answering != refusing);
    CHECK(again.request.attempt == 2);
    answering->Send(again.stream, gate::AnswerHead{200, "text/plain"});
    answering->Send(again.stream, gate::AnswerBytes{"yes"});
    answering->Send(again.stream, gate::AnswerEnd{});
    answering->server.Finish(again.stream);
  });
  CHECK(Expect<CallHead>(call).status == 200);
  CHECK(Expect<CallBytes>(call).bytes == "yes");
  Expect<CallComplete>(call);
  gates.join();
}

// Guards against a truncated answer that is taken for a complete one: the
// upstream fails in the middle of the answer, and a stream that ends early
// looks like one that finished.
TEST_CASE(
    "an answer that ends without its last message is a failure, not a "
    "whole answer") {
  Fixture fixture;
  fixture.UseFirstGate();
  OnlineCall call = fixture.Call(true);
  std::thread gate([&] {
    auto [gate, request] = fixture.WaitForRequest();
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

// Guards against a request that runs twice, such as a payment: the gate accepts
// the request, its connection breaks, and the gate has restarted when the entry
// reconnects; the entry must not send the request again.
TEST_CASE(
    "a request that may not be repeated is only resumed, never run again") {
  Fixture fixture;
  fixture.UseFirstGate();
  OnlineCall call = fixture.Call(false);
  std::thread gate([&] {
    auto [gate, request] = fixture.WaitForRequest();
    CHECK_FALSE(request.request.resume_only);
    gate->server.Finish(request.stream);  // The stream ends without a message.
    for (int i = 0; i < 3; ++i) {
      auto [same, again] = fixture.WaitForRequest();
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

TEST_CASE(
    "an answer is resumed where it was interrupted by a lost connection") {
  Fixture fixture;
  fixture.UseFirstGate();
  OnlineCall call = fixture.Call(true);
  std::thread gate([&] {
    auto [gate, request] = fixture.WaitForRequest();
    gate->Send(request.stream, gate::AnswerHead{200, "text/plain"});
    gate->Send(request.stream, gate::AnswerBytes{"one "});
    gate->server.Finish(request.stream);
    auto [same, again] = fixture.WaitForRequest();
    CHECK(again.request.received_messages == 2);
    same->Send(again.stream, gate::AnswerBytes{"two"});
    same->Send(again.stream, gate::AnswerEnd{});
    same->server.Finish(again.stream);
  });
  Expect<CallHead>(call);
  CHECK(Expect<CallBytes>(call).bytes == "one ");
  CHECK(Expect<CallBytes>(call).bytes == "two");
  Expect<CallComplete>(call);
  gate.join();
}

// Guards against reporting "not run" for a request that ran: the first attempt
// may have run, the retry finds no gate, and the refusal of the last attempt is
// reported for the whole request.
TEST_CASE("not run is never reported when an earlier attempt may have run") {
  Fixture fixture;
  fixture.UseFirstGate();
  OnlineCall call = fixture.Call(true);
  std::thread gate([&] {
    auto [gate, request] = fixture.WaitForRequest();
    gate->Send(request.stream, gate::AnswerEnd{301, "the upstream died"});
    gate->server.Finish(request.stream);
  });
  const auto failed = Expect<CallFailed>(call);
  CHECK_FALSE(failed.not_run);
  CHECK(failed.result.code == ResultCode::kUnknownOutcome);
  gate.join();
}

TEST_CASE("a caller that disconnects cancels the work at the gate") {
  Fixture fixture;
  fixture.UseFirstGate();
  {
    OnlineCall call = fixture.Call(true);
    std::thread gate([&] {
      auto [gate, request] = fixture.WaitForRequest();
      gate->Send(request.stream, gate::AnswerHead{200, "text/plain"});
    });
    Expect<CallHead>(call);
    gate.join();
  }
  CHECK(fixture.first.cancelled.Pop(kTimeout) == "r1");
}

TEST_CASE("without a gate the error reports not run and a retry time") {
  Fixture fixture;
  OnlineCall call = fixture.Call(true);
  const auto failed = Expect<CallFailed>(call);
  CHECK(failed.result.code == ResultCode::kNoUpstream);
  CHECK(failed.not_run);
  CHECK(failed.result.retry_after.count() > 0);
}

}  // namespace papayarack::entry
