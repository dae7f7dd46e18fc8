package poppynotch.control;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import poppynotch.register.AcceptorSet;

/**
 * Who holds a role that one process is to have. Whoever finds it vacant asks all for a grant under
 * a new term; a process grants to one at a time, for the length of a lease. A majority's grants
 * make the holder, until the lease that the first of them began with ends. It is told the time and
 * does no I/O.
 */
public final class RoleElection {

    /** How long a grant binds whoever gave it. */
    public static final long LEASE_MS = 1500;

    /** A holder counts its lease shorter, by what a clock may run differently. */
    private static final long MARGIN_MS = 100;

    private static final long RENEW_MS = 500;

    /**
     * A claim without a majority after this time is given up: else several that have granted
     * themselves would keep each other from the role for ever.
     */
    private static final long CLAIM_LIMIT_MS = 250;

    private static final long NO_CLAIM = -1;
    private static final int SPREAD_MS = 300;

    /** What goes to all others. */
    public interface Port {
        /** Asks all others for their grant. */
        void claim(long term);
    }

    private final String self;
    private final Port port;
    private final SplittableRandom random;
    private long highestTerm;
    private String grantedTo = "";
    private long grantEndsMs = Long.MIN_VALUE;
    private long claimedTerm = NO_CLAIM;
    private long claimedMs;
    private final Set<String> grants = new HashSet<>();
    private long heldUntilMs = Long.MIN_VALUE;
    private long nextClaimMs;

    /**
     * A process that has granted nothing; it may not know of grants that it gave before it was
     * restarted.
     */
    public RoleElection(String self, long nowMs, long seed, Port port) {
        this.self = self;
        this.port = port;
        random = new SplittableRandom(seed);
        // What it granted in an earlier life may still bind it.
        grantEndsMs = nowMs + LEASE_MS;
        nextClaimMs = grantEndsMs + random.nextInt(SPREAD_MS);
    }

    /** Whether this process holds the role. */
    public boolean isHolder(long nowMs) {
        return nowMs < heldUntilMs;
    }

    /** Asks for the role when it is vacant, and for a longer lease while this process has it. */
    public void tick(long nowMs) {
        giveUpClaim(nowMs);
        boolean vacant = nowMs >= grantEndsMs;
        boolean renews = isHolder(nowMs);
        if (nowMs < nextClaimMs || !vacant && !renews) {
            return;
        }
        nextClaimMs = nowMs + RENEW_MS;
        claimedTerm = ++highestTerm;
        claimedMs = nowMs;
        grants.clear();
        grantedTo = self;
        grantEndsMs = nowMs + LEASE_MS;
        grants.add(self);
        port.claim(claimedTerm);
    }

    /** Frees this process's own grant; grants that come late do not count any more. */
    private void giveUpClaim(long nowMs) {
        boolean pending = claimedTerm != NO_CLAIM && !isHolder(nowMs);
        if (pending && grantedTo.equals(self) && nowMs - claimedMs >= CLAIM_LIMIT_MS) {
            claimedTerm = NO_CLAIM;
            grantedTo = "";
            grantEndsMs = nowMs;
            nextClaimMs = nowMs + random.nextInt(SPREAD_MS);
        }
    }

    /** Another process asks for the role; true if it gets this process's grant. */
    public boolean claimed(long nowMs, String by, long term) {
        boolean free = nowMs >= grantEndsMs || grantedTo.equals(by);
        highestTerm = Math.max(highestTerm, term);
        if (!free) {
            return false;
        }
        claimedTerm = NO_CLAIM;
        grantedTo = by;
        grantEndsMs = nowMs + LEASE_MS;
        nextClaimMs = grantEndsMs + random.nextInt(SPREAD_MS);
        return true;
    }

    /** A process grants a claim of this one. */
    public void granted(String by, long term, AcceptorSet voters) {
        if (term != claimedTerm) {
            return;
        }
        grants.add(by);
        if (voters.isQuorum(grants)) {
            heldUntilMs = Math.max(heldUntilMs, claimedMs + LEASE_MS - MARGIN_MS);
        }
    }
}
