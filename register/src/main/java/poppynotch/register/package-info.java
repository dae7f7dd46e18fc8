/**
 * A replicated compare-and-swap register by CASPaxos with a changeable set of acceptors.
 *
 * <p>{@link poppynotch.register.Proposal} is the proposer, {@link
 * poppynotch.register.Acceptor} the acceptor; both are state machines without I/O, driven by {@code
 * poppynotch.control}. {@link poppynotch.register.AcceptorStateStore} keeps an acceptor's state on
 * disk; {@link poppynotch.register.AcceptorRecovery} restores an acceptor that has lost its disk.
 */
package poppynotch.register;
