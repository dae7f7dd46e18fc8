/**
 * Membership of the fleet by SWIM with the extensions of Lifeguard.
 *
 * <p>{@link poppynotch.fleet.membership.Membership} is the entry point, a state machine without I/O
 * and without a clock. Its parts are the failure detector ({@code Prober}), the suspicions ({@code
 * SuspicionTimers}), the merging of received updates ({@code UpdateMerger}), their dissemination
 * ({@code GossipQueue}, {@code MessageComposer}) and the repair of lost updates ({@code
 * AntiEntropy}). State other than membership is piggybacked on its messages as a {@link
 * poppynotch.fleet.membership.PiggybackPayload}.
 */
package poppynotch.fleet.membership;
