package poppynotch.fleet.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import poppynotch.fleet.lease.LeaseCommand.Kind;

/**
 * Guards against tokens that do not increase, and against repeated or stale commands that change
 * the lease of another holder.
 */
class LeaseTableTest {

    private final LeaseTable table = new LeaseTable(0);

    private LeaseTable.Outcome apply(Kind kind, String member, long token, long renewalCount) {
        return table.apply(new LeaseCommand(kind, "d", member, 1, token, renewalCount));
    }

    @Test
    void tokensIncreaseAndRepeatedCommandsHaveNoFurtherEffect() {
        assertEquals(1, apply(Kind.ACQUIRE, "a", 0, 0).lease().token());
        assertEquals(1, apply(Kind.ACQUIRE, "a", 0, 0).lease().token(), "repeated request");
        assertFalse(apply(Kind.ACQUIRE, "b", 0, 0).accepted());
        assertTrue(apply(Kind.RELEASE, "a", 1, 0).accepted());
        assertTrue(apply(Kind.RELEASE, "a", 1, 0).accepted(), "repeated release");
        assertFalse(apply(Kind.RENEW, "a", 1, 0).accepted());
        assertEquals(2, apply(Kind.ACQUIRE, "b", 0, 0).lease().token());
        assertEquals(
                "b",
                apply(Kind.RELEASE, "a", 1, 0).lease().holder(),
                "a stale release has no effect");
    }

    @Test
    void expireIsRejectedAfterRenewal() {
        apply(Kind.ACQUIRE, "a", 0, 0);
        apply(Kind.RENEW, "a", 1, 0);
        assertFalse(apply(Kind.EXPIRE, "a", 1, 1).accepted());
        assertTrue(apply(Kind.EXPIRE, "a", 1, 2).accepted());
        assertTrue(table.leases().get("d").isFree());
    }

    @Test
    void movedLeaseIsGrantedOnlyToRequestedHolder() {
        apply(Kind.ACQUIRE, "a", 0, 0);
        apply(Kind.MOVE, "b", 0, 0);
        assertEquals(
                "b", apply(Kind.RENEW, "a", 1, 0).lease().nextHolder(), "the holder is notified");
        apply(Kind.RELEASE, "a", 1, 0);
        assertFalse(apply(Kind.ACQUIRE, "c", 0, 0).accepted());
        assertTrue(apply(Kind.ACQUIRE, "b", 0, 0).accepted());
        assertEquals("", table.leases().get("d").nextHolder());
    }

    @Test
    void newGenerationGrantsHigherTokens() {
        apply(Kind.ACQUIRE, "a", 0, 0);
        long tokenBefore = table.leases().get("d").token();
        long tokenAfter =
                new LeaseTable(1).apply(LeaseCommand.acquire("d", "a", 1)).lease().token();
        assertTrue(tokenAfter > tokenBefore + 1_000_000_000L);
        FencingGuard guard = new FencingGuard();
        assertTrue(guard.admits("d", tokenAfter));
        assertFalse(guard.admits("d", tokenBefore), "a token of the previous generation");
        assertFalse(guard.admits("d", 0));
        assertEquals(2, guard.rejectedCount());
    }
}
