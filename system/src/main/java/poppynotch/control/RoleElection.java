package poppynotch.control;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import poppynotch.register.AcceptorSet;

/**
 * The lease-based election of the one control-plane replica that holds a singleton role. A replica
 * that finds the role vacant claims it from all others under a new term. Each replica grants the
 * role to one claimant at a time, for the length of a lease. A majority's grants make the claimant
 * the holder until a lease that started with its claim ends.
 *
 * <p>Owned by {@link ControlPlaneNode} and called from its thread; time is passed in, and claims go
 * out through {@link ClaimSender}.
 */
public final class RoleElection {

    /** How long a replica that has granted the role does not grant it to another one. */
    public static final long LEASE_MS = 1500;

    /** The holder's lease is shorter than the grants, as clocks run at different rates. */
    private static final long CLOCK_DRIFT_MARGIN_MS = 100;

    private static final long RENEWAL_INTERVAL_MS = 500;

    /**
     * A claim without a majority after this time is withdrawn: otherwise several replicas that have
     * granted the role to themselves would block each other forever.
     */
    private static final long CLAIM_TIMEOUT_MS = 250;

    private static final long NO_CLAIM = -1;

    /** Claims are delayed by a random time below this, to avoid repeated collisions. */
    private static final int CLAIM_JITTER_MS = 300;

    /** Sends claims to the other replicas. */
    public interface ClaimSender {
        /** Asks all other replicas for their grant in a term. */
        void sendClaim(long term);
    }

    private final String self;
    private final ClaimSender claimSender;
    private final SplittableRandom random;
    private long highestTerm;

    /** The replica that this one has granted the role; empty for none. */
    private String grantedTo = "";

    private long grantEndsMs = Long.MIN_VALUE;
    private long claimedTerm = NO_CLAIM;
    private long claimedAtMs;

    /** The replicas that have granted the claim of {@link #claimedTerm}. */
    private final Set<String> grants = new HashSet<>();

    private long leaseEndsMs = Long.MIN_VALUE;
    private long nextClaimMs;

    /**
     * Creates the state of a replica that knows of no grants. It grants nothing for the length of a
     * lease, as a grant of its previous incarnation may still be valid.
     *
     * @param firstIncarnation whether there was no previous one, so that it may grant at once
     * @param seed the seed of the random delays before claims
     */
    public RoleElection(
            String self, long nowMs, boolean firstIncarnation, long seed, ClaimSender claimSender) {
        this.self = self;
        this.claimSender = claimSender;
        random = new SplittableRandom(seed);
        grantEndsMs = firstIncarnation ? nowMs : nowMs + LEASE_MS;
        nextClaimMs = grantEndsMs + random.nextInt(CLAIM_JITTER_MS);
    }

    /** Whether this replica holds the role. */
    public boolean isHolder(long nowMs) {
        return nowMs < leaseEndsMs;
    }

    /** Claims the role when it is vacant, and renews the lease while this replica holds it. */
    public void tick(long nowMs) {
        withdrawTimedOutClaim(nowMs);
        boolean vacant = nowMs >= grantEndsMs;
        boolean renewing = isHolder(nowMs);
        if (nowMs < nextClaimMs || (!vacant && !renewing)) {
            return;
        }
        nextClaimMs = nowMs + RENEWAL_INTERVAL_MS;
        highestTerm++;
        claimedTerm = highestTerm;
        claimedAtMs = nowMs;
        grants.clear();
        grantedTo = self;
        grantEndsMs = nowMs + LEASE_MS;
        grants.add(self);
        claimSender.sendClaim(claimedTerm);
    }

    /** Revokes this replica's grant to itself; grants of others that arrive later are ignored. */
    private void withdrawTimedOutClaim(long nowMs) {
        boolean claimPending = claimedTerm != NO_CLAIM && !isHolder(nowMs);
        if (claimPending && grantedTo.equals(self) && nowMs - claimedAtMs >= CLAIM_TIMEOUT_MS) {
            claimedTerm = NO_CLAIM;
            grantedTo = "";
            grantEndsMs = nowMs;
            nextClaimMs = nowMs + random.nextInt(CLAIM_JITTER_MS);
        }
    }

    /** Handles the claim of another replica; true if this replica grants it. */
    public boolean onClaim(long nowMs, String claimant, long term) {
        boolean free = nowMs >= grantEndsMs || grantedTo.equals(claimant);
        highestTerm = Math.max(highestTerm, term);
        if (!free) {
            return false;
        }
        claimedTerm = NO_CLAIM;
        grantedTo = claimant;
        grantEndsMs = nowMs + LEASE_MS;
        nextClaimMs = grantEndsMs + random.nextInt(CLAIM_JITTER_MS);
        return true;
    }

    /**
     * Handles a grant by another replica; one for another term than the current claim is ignored.
     *
     * @param voters whose majority makes this replica the holder
     */
    public void onGrant(String granter, long term, AcceptorSet voters) {
        if (term != claimedTerm) {
            return;
        }
        grants.add(granter);
        if (voters.isQuorum(grants)) {
            leaseEndsMs = Math.max(leaseEndsMs, claimedAtMs + LEASE_MS - CLOCK_DRIFT_MARGIN_MS);
        }
    }
}
