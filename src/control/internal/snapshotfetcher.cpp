#include "control/internal/snapshotfetcher.h"

#include <fmt/format.h>

#include <algorithm>

#include "control/controlprotocol.h"
#include "global/messagecodec.h"
#include "global/settings.h"

namespace papayarack::control {
namespace {

constexpr std::chrono::milliseconds kChunkTimeout{5000};

SnapshotChunk FetchChunk(transport::PeerClient& client, const Endpoint& source,
                         const SnapshotRequest& request) {
  auto chunk = DecodeMessage<SnapshotChunk>(client.CallAndWait(
      source, path::kSnapshot, EncodeMessage(request), kChunkTimeout));
  if (chunk.code != 0) {
    throw ResultError(static_cast<ResultCode>(chunk.code),
                      "the source has no such snapshot part");
  }
  return chunk;
}

}  // namespace

FetchedSnapshot FetchSnapshot(transport::PeerClient& client,
                              const std::string& address,
                              storage::FileSystem& files,
                              consensus::GroupId group,
                              std::uint64_t own_blobs) {
  const Endpoint source = ParseEndpoint(address, "member address");
  FetchedSnapshot fetched;
  SnapshotChunk chunk = FetchChunk(client, source, {group, false, 0});
  fetched.meta = chunk.meta;
  fetched.state = std::move(chunk.bytes);
  while (fetched.state.size() < fetched.meta.state_bytes) {
    chunk = FetchChunk(client, source, {group, false, fetched.state.size()});
    if (chunk.meta.index != fetched.meta.index || chunk.bytes.empty()) {
      throw ResultError(ResultCode::kUnknownOutcome,
                        "the snapshot changed while it was fetched");
    }
    fetched.state += chunk.bytes;
  }
  // Bytes that both members hold are identical; only the rest is fetched.
  const bool keep_own =
      own_blobs >= chunk.first_blob && own_blobs <= fetched.meta.blob_length;
  fetched.blob_start = keep_own ? own_blobs : chunk.first_blob;
  fetched.blob_file = fmt::format("fetched-{:04}", group);
  files.Remove(fetched.blob_file);
  std::uint64_t offset = fetched.blob_start;
  while (offset < fetched.meta.blob_length) {
    chunk = FetchChunk(client, source, {group, true, offset});
    const std::size_t count = std::min<std::uint64_t>(
        chunk.bytes.size(), fetched.meta.blob_length - offset);
    if (count == 0) {
      throw ResultError(ResultCode::kUnknownOutcome,
                        "the source has fewer bytes than it said");
    }
    const std::string_view bytes = chunk.bytes;
    files.Append(fetched.blob_file, bytes.substr(0, count));
    offset += count;
  }
  return fetched;
}

}  // namespace papayarack::control
