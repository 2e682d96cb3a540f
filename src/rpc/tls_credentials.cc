#include "src/rpc/tls_credentials.h"

#include <algorithm>
#include <fstream>
#include <string>

#include "grpcpp/security/tls_certificate_provider.h"
#include "grpcpp/security/tls_credentials_options.h"

namespace wisteriareel {
namespace {

namespace tls = grpc::experimental;

// FileWatcherCertificateProvider waits for a missing file without an error, so
// files are checked before it is created.
bool CheckReadable(const std::string& path, LastReason* reason) {
  if (path.empty() || std::ifstream(path).good()) return true;
  reason->Set(Reason::kUnavailable, "can't read " + path);
  return false;
}

bool CheckAllReadable(const TlsFiles& files, LastReason* reason) {
  return CheckReadable(files.certificate_file, reason) &&
         CheckReadable(files.key_file, reason) &&
         CheckReadable(files.ca_file, reason);
}

std::shared_ptr<tls::FileWatcherCertificateProvider> WatchFiles(
    const TlsFiles& files) {
  const auto seconds = static_cast<unsigned int>(
      std::max<std::int64_t>(1, absl::ToInt64Seconds(files.reload)));
  return std::make_shared<tls::FileWatcherCertificateProvider>(
      files.key_file, files.certificate_file, files.ca_file, seconds);
}

}  // namespace

std::shared_ptr<grpc::ServerCredentials> ServerTlsCredentials(
    const TlsFiles& files, LastReason* reason) {
  if (!files.enabled()) return grpc::InsecureServerCredentials();
  if (!CheckAllReadable(files, reason)) return nullptr;
  tls::TlsServerCredentialsOptions options(WatchFiles(files));
  options.watch_identity_key_cert_pairs();
  if (files.ca_file.empty()) {
    options.set_cert_request_type(GRPC_SSL_DONT_REQUEST_CLIENT_CERTIFICATE);
  } else {
    options.watch_root_certs();
    options.set_cert_request_type(
        GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
  }
  return tls::TlsServerCredentials(options);
}

std::shared_ptr<grpc::ChannelCredentials> ChannelTlsCredentials(
    const TlsFiles& files, LastReason* reason) {
  if (!files.enabled()) return grpc::InsecureChannelCredentials();
  if (!CheckAllReadable(files, reason)) return nullptr;
  tls::TlsChannelCredentialsOptions options;
  options.set_certificate_provider(WatchFiles(files));
  if (!files.certificate_file.empty()) options.watch_identity_key_cert_pairs();
  options.watch_root_certs();
  return tls::TlsCredentials(options);
}

}  // namespace wisteriareel
