#ifndef PAPAYARACK_STATEMACHINE_STATEMACHINE_H_
#define PAPAYARACK_STATEMACHINE_STATEMACHINE_H_

#include <string>
#include <string_view>

#include "claims/claimbook.h"
#include "documents/documentstore.h"
#include "jobs/filestore.h"
#include "jobs/jobstore.h"
#include "statemachine/commands.h"
#include "storage/blobstore.h"

namespace papayarack::statemachine {

/// Everything that the replicated log decides, joined. The same log gives the
/// same state and the same blob bytes on every member. Thread safety: none, one
/// owner.
class StateMachine {
 public:
  explicit StateMachine(storage::BlobStore& blobs)
      : blobs(blobs), file_book(blobs), job_book(blobs, file_book) {}

  /// Applies one committed command. Malformed or refused commands give a reply
  /// with a code and change nothing. Throws only when the disk fails.
  CommandReply Apply(std::string_view command);
  /// True when a AdvanceTime at `now_ms` would change something soon needed.
  bool NeedsAdvanceTime(std::int64_t now_ms) const;

  std::string Save() const;
  /// Throws ResultError(kProtocol) on malformed bytes.
  void Load(std::string_view bytes);

  const documents::DocumentStore& documents() const {
    return this->document_book;
  }
  const jobs::JobStore& jobs() const { return this->job_book; }
  const jobs::FileStore& files() const { return this->file_book; }
  const claims::ClaimBook& claims() const { return this->claim_book; }

 private:
  CommandReply Do(const SubmitDocument& command);
  CommandReply Do(const AppendFile& command);
  CommandReply Do(const CreateJob& command);
  CommandReply Do(const CancelJob& command);
  CommandReply Do(const PullItems& command);
  CommandReply Do(const AdvanceTime& command);
  CommandReply Do(const MakeClaim& command);
  CommandReply Do(const EndClaim& command);

  storage::BlobStore& blobs;
  documents::DocumentStore document_book;
  jobs::FileStore file_book;
  jobs::JobStore job_book;
  claims::ClaimBook claim_book;
};

}  // namespace papayarack::statemachine

#endif  // PAPAYARACK_STATEMACHINE_STATEMACHINE_H_
