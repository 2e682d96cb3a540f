#ifndef WISTERIAREEL_SRC_RPC_TLS_CREDENTIALS_H_
#define WISTERIAREEL_SRC_RPC_TLS_CREDENTIALS_H_

#include <memory>

#include "grpcpp/grpcpp.h"
#include "src/security/tls_files.h"
#include "wisteriareel/reason.h"

// gRPC credentials from PEM files, which are read again while in use.
namespace wisteriareel {

// Returns a listener's credentials, those for plain text if `files` is not
// enabled. Returns null with kUnavailable if a file can't be read.
std::shared_ptr<grpc::ServerCredentials> ServerTlsCredentials(
    const TlsFiles& files, LastReason* reason);

// Returns a client's credentials; like ServerTlsCredentials otherwise.
std::shared_ptr<grpc::ChannelCredentials> ChannelTlsCredentials(
    const TlsFiles& files, LastReason* reason);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_RPC_TLS_CREDENTIALS_H_
