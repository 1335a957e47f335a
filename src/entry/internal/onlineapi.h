#ifndef PAPAYARACK_ENTRY_INTERNAL_ONLINEAPI_H_
#define PAPAYARACK_ENTRY_INTERNAL_ONLINEAPI_H_

#include <httplib.h>

#include "entry/internal/entrycontext.h"

namespace papayarack::entry {

/// Registers the online API for callers: completions, models and plain
/// services.
void AddOnlineApi(httplib::Server& server, EntryContext& context);

}  // namespace papayarack::entry

#endif  // PAPAYARACK_ENTRY_INTERNAL_ONLINEAPI_H_
