#pragma once

#include "core/Incarnation.h"

#include <string>
#include <string_view>

namespace nutmegrock::transport::peer {

/// Mutual authentication by a shared secret in the Hello exchange: each side
/// sends the HMAC-SHA256 of its role, both nonces and both incarnations.
/// Without a secret every proof is accepted.
class PeerAuthenticator
{
public:
  explicit PeerAuthenticator(std::string aSecret);

  bool IsRequired() const { return !mSecret.empty(); }
  /// Returns 32 random bytes, or an empty string, which no side accepts, if the
  /// random generator fails.
  static std::string MakeNonce();

  /// Set the nonce and incarnation of each side once they are known.
  void SetCaller(std::string aNonce, core::Incarnation aIncarnation);
  void SetServer(std::string aNonce, core::Incarnation aIncarnation);

  std::string CallerProof() const { return Proof("caller"); }
  std::string ServerProof() const { return Proof("server"); }
  /// Return true if the proof is valid. The comparison takes constant time.
  bool AcceptsCaller(std::string_view aProof) const;
  bool AcceptsServer(std::string_view aProof) const;

private:
  std::string Proof(std::string_view aRole) const;
  bool Accepts(std::string_view aRole, std::string_view aProof) const;

  std::string mSecret;
  std::string mCallerNonce;
  std::string mServerNonce;
  core::Incarnation mCaller;
  core::Incarnation mServer;
};

} // namespace nutmegrock::transport::peer
