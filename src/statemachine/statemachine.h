#ifndef PAPAYARACK_STATEMACHINE_STATEMACHINE_H_
#define PAPAYARACK_STATEMACHINE_STATEMACHINE_H_

#include <string>
#include <string_view>

#include "claims/claimtable.h"
#include "documents/documentstore.h"
#include "jobs/filestore.h"
#include "jobs/jobstore.h"
#include "statemachine/commands.h"
#include "storage/blobstore.h"

namespace papayarack::statemachine {

/// The replicated state machine. The same log gives the same state and the same
/// blob bytes on every member. Thread safety: none, one owner.
class StateMachine {
 public:
  explicit StateMachine(storage::BlobStore& blobs)
      : blobs(blobs), file_store(blobs), job_store(blobs, file_store) {}

  /// Applies one committed command. Malformed or refused commands change
  /// nothing and give a reply with an error code. Throws only if the disk
  /// fails.
  CommandReply Apply(std::string_view command);
  /// True if leases have expired at `now_ms`, so that an AdvanceTime command is
  /// needed.
  bool NeedsAdvanceTime(std::int64_t now_ms) const;

  std::string Save() const;
  /// Throws ResultError(kProtocol) on malformed bytes.
  void Load(std::string_view bytes);

  const documents::DocumentStore& documents() const {
    return this->document_store;
  }
  const jobs::JobStore& jobs() const { return this->job_store; }
  const jobs::FileStore& files() const { return this->file_store; }
  const claims::ClaimTable& claims() const { return this->claim_table; }

 private:
  CommandReply Execute(const SubmitDocument& command);
  CommandReply Execute(const AppendFile& command);
  CommandReply Execute(const CreateJob& command);
  CommandReply Execute(const CancelJob& command);
  CommandReply Execute(const PullItems& command);
  CommandReply Execute(const AdvanceTime& command);
  CommandReply Execute(const MakeClaim& command);
  CommandReply Execute(const EndClaim& command);

  storage::BlobStore& blobs;
  documents::DocumentStore document_store;
  jobs::FileStore file_store;
  jobs::JobStore job_store;
  claims::ClaimTable claim_table;
};

}  // namespace papayarack::statemachine

#endif  // PAPAYARACK_STATEMACHINE_STATEMACHINE_H_
