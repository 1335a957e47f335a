#include "consensus/raftlog.h"

#include <utility>

namespace papayarack::consensus {

std::optional<Term> RaftLog::TermAt(Index index) const {
  if (index == this->snapshot_meta.index) {
    return this->snapshot_meta.term;
  }
  if (index < this->FirstIndex() || index > this->LastIndex()) {
    return std::nullopt;
  }
  return this->entries[index - this->FirstIndex()].term;
}

void RaftLog::Append(Entry entry) {
  this->payload_bytes += entry.payload.size();
  this->entries.push_back(std::move(entry));
}

void RaftLog::TruncateFrom(Index from) {
  while (this->LastIndex() >= from && !this->entries.empty()) {
    this->payload_bytes -= this->entries.back().payload.size();
    this->entries.pop_back();
  }
}

std::vector<Entry> RaftLog::Slice(Index first, Index last,
                                  std::size_t max_bytes) const {
  std::vector<Entry> slice;
  std::size_t bytes = 0;
  for (Index index = first; index <= last && index <= this->LastIndex();
       ++index) {
    const Entry& entry = this->entries[index - this->FirstIndex()];
    bytes += entry.payload.size();
    if (!slice.empty() && bytes > max_bytes) {
      break;
    }
    slice.push_back(entry);
  }
  return slice;
}

void RaftLog::Compact(SnapshotMeta snapshot) {
  while (!this->entries.empty() &&
         this->entries.front().index <= snapshot.index) {
    this->payload_bytes -= this->entries.front().payload.size();
    this->entries.pop_front();
  }
  this->snapshot_meta = std::move(snapshot);
}

void RaftLog::Reset(SnapshotMeta snapshot) {
  this->entries.clear();
  this->payload_bytes = 0;
  this->snapshot_meta = std::move(snapshot);
}

MemberList RaftLog::LatestMembers() const {
  return this->MembersAt(this->LastIndex());
}

MemberList RaftLog::MembersAt(Index index) const {
  for (auto entry = this->entries.rbegin(); entry != this->entries.rend();
       ++entry) {
    if (entry->index <= index && entry->Kind() == EntryKind::kMembers) {
      return DecodeMessage<MemberList>(entry->payload);
    }
  }
  return this->snapshot_meta.members;
}

Index RaftLog::LatestMembersIndex() const {
  for (auto entry = this->entries.rbegin(); entry != this->entries.rend();
       ++entry) {
    if (entry->Kind() == EntryKind::kMembers) {
      return entry->index;
    }
  }
  return this->snapshot_meta.index;
}

}  // namespace papayarack::consensus
