/**
 * A replicated compare-and-swap register by CASPaxos, whose set of acceptors can be changed.
 *
 * <p>{@link poppynotch.register.Proposal} implements the proposer, {@link
 * poppynotch.register.Acceptor} the acceptor; both are state machines without I/O, driven by {@code
 * poppynotch.control}. {@link poppynotch.register.AcceptorStateStore} keeps an acceptor's state on
 * disk; {@link poppynotch.register.AcceptorRecovery} restores an acceptor that has lost its disk.
 */
package poppynotch.register;
