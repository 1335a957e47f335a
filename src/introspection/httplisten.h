#ifndef PAPAYARACK_INTROSPECTION_HTTPLISTEN_H_
#define PAPAYARACK_INTROSPECTION_HTTPLISTEN_H_

#include <httplib.h>

#include <string_view>

#include "global/settings.h"

namespace papayarack::introspection {

/// Binds `server` to `listen` with a long backlog; call listen_after_bind next.
/// Throws ResultError(kBadInput) naming `field` when the address cannot be
/// bound. Precondition: the server is not bound. Thread safety: one owner.
void BindHttp(httplib::Server& server, const Endpoint& listen,
              std::string_view field);

}  // namespace papayarack::introspection

#endif  // PAPAYARACK_INTROSPECTION_HTTPLISTEN_H_
