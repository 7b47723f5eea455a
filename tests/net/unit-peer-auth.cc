#include <CppUTest/TestHarness.h>

#include <string>  // string

#include "coppervalve/net/peer_auth.h"

using namespace coppervalve;
using net::PeerSigner;
using net::PeerVerifier;
using net::UnixSeconds;

namespace {

constexpr UnixSeconds kNow{1'790'000'000};
const std::string kText = ":path: /peer/message\n";

std::string Proof(UnixSeconds now = kNow,
                  const std::string& secret = "secret") {
  return core::Value(PeerSigner(secret).Sign(kText, now));
}

}  // namespace

TEST_GROUP(PeerAuth) {
  PeerVerifier m_verifier{"secret"};

  bool Accepted(const std::string& proof, UnixSeconds now = kNow) {
    return core::IsOk(m_verifier.Check(proof, kText, now));
  }
};

TEST(PeerAuth, a_proof_made_with_the_same_secret_is_accepted) {
  CHECK_TRUE(Accepted(Proof()));
}

TEST(PeerAuth, a_proof_made_with_another_secret_is_refused) {
  CHECK_FALSE(Accepted(Proof(kNow, "other")));
}

TEST(PeerAuth, a_proof_of_another_text_is_refused) {
  const auto status = m_verifier.Check(Proof(), ":path: /peer/forward\n", kNow);
  CHECK_FALSE(core::IsOk(status));
  CHECK_TRUE(core::Failure(status).id == core::ErrorId::kPeerProtocol);
}

TEST(PeerAuth, clocks_may_differ_by_sixty_seconds_and_no_more) {
  CHECK_TRUE(Accepted(Proof(kNow - UnixSeconds(60))));
  CHECK_TRUE(Accepted(Proof(kNow + UnixSeconds(60))));
  CHECK_FALSE(Accepted(Proof(kNow - UnixSeconds(61))));
  CHECK_FALSE(Accepted(Proof(kNow + UnixSeconds(61))));
}

// A recorded stream is replayed. The replay has a correct proof but a nonce
// that was seen before. It is refused for as long as its time is acceptable,
// also when the nonce sets rotate in between.
TEST(PeerAuth, a_proof_counts_once) {
  for (int start = 0; start < 130; ++start) {
    const UnixSeconds now = kNow + UnixSeconds(1000 * start + start);
    const std::string proof = Proof(now + UnixSeconds(60));
    CHECK_TRUE(Accepted(proof, now));
    for (int later = 0; later < 130; ++later) {
      CHECK_FALSE(Accepted(proof, now + UnixSeconds(later)));
    }
  }
}

TEST(PeerAuth, malformed_proofs_are_refused) {
  const std::string proof = Proof();
  CHECK_FALSE(Accepted(""));
  CHECK_FALSE(Accepted(".."));
  CHECK_FALSE(Accepted("1790000000"));
  CHECK_FALSE(Accepted("x" + proof));
  CHECK_FALSE(Accepted("-" + proof));
  CHECK_FALSE(Accepted(proof + "0"));
  CHECK_FALSE(Accepted(proof.substr(0, proof.size() - 1)));
  CHECK_TRUE(Accepted(proof));
}

TEST(PeerAuth, the_proof_of_a_reply_depends_on_secret_and_request) {
  const std::string first = Proof();
  const std::string second = Proof();
  const PeerSigner signer("secret");
  CHECK_TRUE(signer.ReplyProof(first) ==
             PeerSigner("secret").ReplyProof(first));
  CHECK_FALSE(signer.ReplyProof(first) == signer.ReplyProof(second));
  CHECK_FALSE(signer.ReplyProof(first) ==
              PeerSigner("other").ReplyProof(first));
}
