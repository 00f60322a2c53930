#include "transport/peer/PeerAuthenticator.h"

#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <utility>

namespace nutmegrock::transport::peer {

namespace {

constexpr std::size_t kNonceBytes = 32;

} // namespace

PeerAuthenticator::PeerAuthenticator(std::string aSecret)
  : mSecret(std::move(aSecret))
{
}

std::string
PeerAuthenticator::MakeNonce()
{
  std::string nonce(kNonceBytes, '\0');
  if (RAND_bytes(reinterpret_cast<unsigned char*>(nonce.data()),
                 static_cast<int>(nonce.size())) != 1) {
    // Accepts() rejects an empty nonce.
    nonce.clear();
  }
  return nonce;
}

void
PeerAuthenticator::SetCaller(std::string aNonce, core::Incarnation aIncarnation)
{
  mCallerNonce = std::move(aNonce);
  mCaller = aIncarnation;
}

void
PeerAuthenticator::SetServer(std::string aNonce, core::Incarnation aIncarnation)
{
  mServerNonce = std::move(aNonce);
  mServer = aIncarnation;
}

bool
PeerAuthenticator::AcceptsCaller(std::string_view aProof) const
{
  return Accepts("caller", aProof);
}

bool
PeerAuthenticator::AcceptsServer(std::string_view aProof) const
{
  return Accepts("server", aProof);
}

// The role prevents a proof from being reflected to its sender. Accepts()
// requires nonces of a fixed length, so that the boundaries between the
// concatenated fields are unambiguous.
std::string
PeerAuthenticator::Proof(std::string_view aRole) const
{
  if (!IsRequired()) {
    return {};
  }
  std::string text(aRole);
  text += mCallerNonce + mServerNonce + mCaller.ToString() + mServer.ToString();
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned size = 0;
  if (HMAC(EVP_sha256(),
           mSecret.data(),
           static_cast<int>(mSecret.size()),
           reinterpret_cast<const unsigned char*>(text.data()),
           text.size(),
           digest.data(),
           &size) == nullptr) {
    return {};
  }
  return { digest.begin(), digest.begin() + size };
}

bool
PeerAuthenticator::Accepts(std::string_view aRole,
                           std::string_view aProof) const
{
  if (!IsRequired()) {
    return true;
  }
  const std::string expected = Proof(aRole);
  return mCallerNonce.size() == kNonceBytes &&
         mServerNonce.size() == kNonceBytes && !expected.empty() &&
         aProof.size() == expected.size() &&
         CRYPTO_memcmp(aProof.data(), expected.data(), expected.size()) == 0;
}

} // namespace nutmegrock::transport::peer
