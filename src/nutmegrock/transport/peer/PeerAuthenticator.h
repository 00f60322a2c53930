#pragma once

#include "core/Incarnation.h"

#include <string>
#include <string_view>

namespace nutmegrock::transport::peer {

/// Mutual proof of a shared secret in the Hello exchange: each side returns
/// the HMAC-SHA256 of its role, both nonces and both incarnations. Without a
/// secret every proof is accepted.
class PeerAuthenticator
{
public:
  explicit PeerAuthenticator(std::string aSecret);

  bool IsRequired() const { return !mSecret.empty(); }
  /// 32 random bytes.
  static std::string MakeNonce();

  /// Both nonces and incarnations, once known.
  void SetCaller(std::string aNonce, core::Incarnation aIncarnation);
  void SetServer(std::string aNonce, core::Incarnation aIncarnation);

  std::string CallerProof() const { return Proof("caller"); }
  std::string ServerProof() const { return Proof("server"); }
  /// Compares in constant time.
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
