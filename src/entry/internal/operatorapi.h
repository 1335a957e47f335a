#ifndef PAPAYARACK_ENTRY_INTERNAL_OPERATORAPI_H_
#define PAPAYARACK_ENTRY_INTERNAL_OPERATORAPI_H_

#include <httplib.h>

#include "entry/internal/entrycontext.h"

namespace papayarack::entry {

/// Registers the API for operators: service documents and the status of the
/// fleet.
void AddOperatorApi(httplib::Server& server, EntryContext& context);

}  // namespace papayarack::entry

#endif  // PAPAYARACK_ENTRY_INTERNAL_OPERATORAPI_H_
