#include "http/requestmemory.h"

#include <utility>

namespace papayarack::http {
namespace {

/// Part of the memory that only small requests may take.
constexpr std::size_t kSmallParts = 4;
/// Weight of the time since a request's last byte: one that stands still goes
/// before one that is as slow on the whole.
constexpr int kStillWeight = 4;

}  // namespace

MemoryHolderId RequestMemory::Add(std::function<void()> refuse) {
  const MemoryHolderId id = ++this->last_holder;
  this->holders[id].refuse = std::move(refuse);
  return id;
}

void RequestMemory::Remove(MemoryHolderId id) {
  this->Release(id);
  this->holders.erase(id);
}

void RequestMemory::Release(MemoryHolderId id) {
  const auto found = this->holders.find(id);
  if (found != this->holders.end()) {
    this->total -= std::exchange(found->second.bytes, 0);
    found->second.serving = false;
  }
}

bool RequestMemory::Hold(MemoryHolderId id, std::size_t bytes, Time now) {
  this->Set(this->holders.at(id), bytes, now);
  if (this->total == bytes || this->MakeRoom(id, now)) {
    return true;
  }
  ++this->refusals;
  return false;
}

bool RequestMemory::Serve(MemoryHolderId id, std::size_t bytes, Time now) {
  Holder& holder = this->holders.at(id);
  this->Set(holder, bytes, now);
  holder.serving = true;
  this->MakeRoom(id, now);
  if (this->total == bytes || this->total <= this->LimitFor(bytes)) {
    return true;
  }
  ++this->refusals;
  return false;
}

void RequestMemory::Set(Holder& holder, std::size_t bytes, Time now) {
  if (holder.bytes == 0) {
    holder.begun = now;
  }
  holder.moved = now;
  this->total += bytes;
  this->total -= std::exchange(holder.bytes, bytes);
}

std::size_t RequestMemory::LimitFor(std::size_t bytes) const {
  return bytes <= kSmallBytes ? this->max_bytes
                              : this->max_bytes - this->max_bytes / kSmallParts;
}

bool RequestMemory::MakeRoom(MemoryHolderId except, Time now) {
  while (this->total > this->LimitFor(kSmallBytes + 1)) {
    const auto large = this->Slowest(kSmallBytes, now);
    if (!large.has_value()) {
      break;
    }
    if (!this->Refuse(*large, except)) {
      return false;
    }
  }
  while (this->total > this->max_bytes) {
    const auto any = this->Slowest(0, now);
    if (!any.has_value()) {
      break;
    }
    if (!this->Refuse(*any, except)) {
      return false;
    }
  }
  return true;
}

std::optional<MemoryHolderId> RequestMemory::Slowest(std::size_t over,
                                                     Time now) const {
  std::optional<MemoryHolderId> slowest;
  double longest = -1;
  for (const auto& [id, holder] : this->holders) {
    if (holder.serving || holder.bytes <= over) {
      continue;
    }
    const Duration taken =
        now - holder.begun + kStillWeight * (now - holder.moved);
    const double for_each_byte =
        static_cast<double>(taken.count()) / static_cast<double>(holder.bytes);
    if (for_each_byte > longest) {
      longest = for_each_byte;
      slowest = id;
    }
  }
  return slowest;
}

bool RequestMemory::Refuse(MemoryHolderId victim, MemoryHolderId except) {
  if (victim == except) {
    return false;
  }
  ++this->refusals;
  // The callback may remove the holder.
  const auto refuse = this->holders.at(victim).refuse;
  refuse();
  this->Release(victim);
  return true;
}

}  // namespace papayarack::http
