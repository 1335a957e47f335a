#include <catch2/catch.hpp>

#include "global/variantcodec.h"
#include "statemachine/statemachine.h"
#include "storage/memoryfilesystem.h"

namespace papayarack::statemachine {
namespace {

CommandReply Apply(StateMachine& machine, const Command& command) {
  return machine.Apply(EncodeVariant(command));
}

}  // namespace

TEST_CASE("the state machine") {
  storage::MemoryFileSystem files;
  storage::BlobStore blobs(files, "blob");
  StateMachine machine(blobs);
  REQUIRE(Apply(machine, SubmitDocument{"counter", 1, "{}"}).code == 0);
  REQUIRE(Apply(machine, AppendFile{"f", "kivu", 0,
                                    "{\"custom_id\":\"a\",\"body\":{}}\n"
                                    "{\"custom_id\":\"b\",\"body\":{}}\n",
                                    true, 0})
              .code == 0);
  jobs::JobRequest request;
  request.id = "j";
  request.owner = "kivu";
  request.key = "k";
  request.service = "counter";
  request.file = "f";
  REQUIRE(Apply(machine, CreateJob{request}).code == 0);

  SECTION("refuses malformed commands without any change") {
    CHECK(machine.Apply("\xc1junk").code ==
          static_cast<int>(ResultCode::kProtocol));
    CHECK(machine.Apply("").code == static_cast<int>(ResultCode::kProtocol));
    CHECK(machine.documents().revision() == 1);
  }
  SECTION("lists the items that a gate must stop after a cancel") {
    jobs::LeaseRequest lease{"gate", 1, "counter", 2, 0, 1000, {}};
    auto granted =
        DecodeMessage<LeaseReply>(Apply(machine, PullItems{{}, lease}).body);
    REQUIRE(granted.items.size() == 2);
    CHECK(Apply(machine, CancelJob{"j", "other team", 0}).code ==
          static_cast<int>(ResultCode::kNotFound));
    CHECK(Apply(machine, CancelJob{"j", "kivu", 0}).code == 0);
    lease.holding = {granted.items[0].key, granted.items[1].key};
    granted =
        DecodeMessage<LeaseReply>(Apply(machine, PullItems{{}, lease}).body);
    CHECK(granted.stop.size() == 2);
    CHECK(granted.items.empty());
  }
  SECTION("restores an identical state from a snapshot") {
    StateMachine copy(blobs);
    copy.Load(machine.Save());
    CHECK(copy.documents().revision() == 1);
    CHECK(copy.jobs().Find("j")->items == 2);
    CHECK(copy.Save() == machine.Save());
  }
}

}  // namespace papayarack::statemachine
