#include <catch2/catch.hpp>

#include "slots/slotallocator.h"

namespace papayarack::slots {
namespace {

Time At(int milliseconds) {
  return Time(std::chrono::milliseconds(milliseconds));
}

SlotRequest MakeRequest(TicketId ticket, int latest_ms, int priority = 0) {
  return {ticket, priority, At(latest_ms)};
}

}  // namespace

// Load: batch fills all eight slots in a trough, then a wave starts with five
// online requests at once. None may wait for batch.
TEST_CASE("online requests take the slots of batch items at once") {
  SlotAllocator allocator;
  allocator.SetSlots(8);
  CHECK(allocator.FreeBatchSlots() == 8);
  for (int i = 0; i < 8; ++i) {
    allocator.StartBatch();
  }
  for (TicketId ticket = 1; ticket <= 5; ++ticket) {
    CHECK(allocator.Acquire(MakeRequest(ticket, 200), At(0)) ==
          SlotAnswer::kGranted);
  }
  CHECK(allocator.BatchToPreempt() == 5);
  for (int i = 0; i < 5; ++i) {
    allocator.EndBatch();
  }
  CHECK(allocator.BatchToPreempt() == 0);
  CHECK(allocator.FreeBatchSlots() == 0);
  allocator.Release(1, At(700));
  CHECK(allocator.FreeBatchSlots() == 1);
}

// Guards against items that are preempted though their entry asked to spare
// them, and against free slots that are withheld.
TEST_CASE("a gate knows whether a grant would preempt an item") {
  SlotAllocator allocator;
  allocator.SetSlots(2);
  CHECK_FALSE(allocator.WouldPreempt());
  allocator.StartBatch();
  CHECK_FALSE(allocator.WouldPreempt());
  allocator.StartBatch();
  CHECK(allocator.WouldPreempt());
  SECTION("not where online requests hold all slots: it would be refused") {
    allocator.Acquire(MakeRequest(1, 200), At(0));
    allocator.Acquire(MakeRequest(2, 200), At(0));
    CHECK_FALSE(allocator.WouldPreempt());
  }
  SECTION("not at a closed gate") {
    allocator.SetOpen(false);
    CHECK_FALSE(allocator.WouldPreempt());
  }
}

// Load: a peak at which online work alone fills the engine. A slot becomes free
// every 88 ms; a caller with 200 ms left can wait behind one other, not three.
TEST_CASE("the queue is bounded by the time that its callers can wait") {
  SlotAllocator allocator;
  allocator.SetSlots(8);
  for (TicketId ticket = 1; ticket <= 8; ++ticket) {
    allocator.Acquire(MakeRequest(ticket, 200), At(0));
  }
  CHECK(allocator.Acquire(MakeRequest(10, 200), At(0)) == SlotAnswer::kQueued);
  CHECK(allocator.Acquire(MakeRequest(11, 200), At(0)) == SlotAnswer::kQueued);
  CHECK(allocator.Acquire(MakeRequest(12, 200), At(0)) == SlotAnswer::kRefused);
  SECTION("slots go to the most urgent request, then the oldest") {
    CHECK(allocator.Acquire(MakeRequest(13, 900, -1), At(0)) ==
          SlotAnswer::kQueued);
    allocator.Release(1, At(50));
    allocator.Release(2, At(50));
    CHECK(allocator.TakeGranted(At(50)) == std::vector<TicketId>{13, 10});
  }
  SECTION("requests that can no longer start in time expire") {
    CHECK(allocator.TakeExpired(At(201)) == std::vector<TicketId>{10, 11});
  }
  SECTION("batch gets no slots while online requests wait") {
    CHECK(allocator.FreeBatchSlots() == 0);
  }
}

// Load: all processes are killed at once and restart within a second; the
// engine still runs five requests of the former processes.
TEST_CASE("slots held by foreign runs are not granted") {
  SlotAllocator allocator;
  allocator.SetSlots(8);
  allocator.SetForeign(5);
  CHECK(allocator.FreeBatchSlots() == 3);
  for (TicketId ticket = 1; ticket <= 3; ++ticket) {
    CHECK(allocator.Acquire(MakeRequest(ticket, 200), At(0)) ==
          SlotAnswer::kGranted);
  }
  CHECK(allocator.Acquire(MakeRequest(4, 50), At(0)) == SlotAnswer::kRefused);
  CHECK(allocator.Acquire(MakeRequest(5, 200), At(0)) == SlotAnswer::kQueued);
  allocator.SetForeign(4);
  CHECK(allocator.TakeGranted(At(10)) == std::vector<TicketId>{5});
  allocator.SetForeign(20);
  CHECK(allocator.FreeBatchSlots() == 0);
}

TEST_CASE("a closed engine gets no work") {
  SlotAllocator allocator;
  allocator.SetSlots(8);
  allocator.SetOpen(false);
  CHECK(allocator.Acquire(MakeRequest(1, 200), At(0)) == SlotAnswer::kRefused);
  CHECK(allocator.FreeBatchSlots() == 0);
}

}  // namespace papayarack::slots
