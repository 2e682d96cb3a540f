#ifndef WISTERIAREEL_SRC_RPC_TLS_CREDENTIALS_H_
#define WISTERIAREEL_SRC_RPC_TLS_CREDENTIALS_H_

#include <memory>

#include "grpcpp/grpcpp.h"
#include "src/security/tls_files.h"
#include "wisteriareel/reason.h"

// gRPC credentials from PEM files. Changed files are reloaded while the
// credentials are in use, at the interval `TlsFiles::reload`.
namespace wisteriareel {

// Returns a server's credentials, or insecure ones if `files` is not enabled.
// Returns null with kUnavailable if a file can't be read.
std::shared_ptr<grpc::ServerCredentials> ServerTlsCredentials(
    const TlsFiles& files, LastReason* reason);

// Returns a client's credentials; otherwise like ServerTlsCredentials.
std::shared_ptr<grpc::ChannelCredentials> ChannelTlsCredentials(
    const TlsFiles& files, LastReason* reason);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_RPC_TLS_CREDENTIALS_H_
