package poppynotch.control;

import poppynotch.register.AcceptorState;

/** Persists an acceptor's state, so that a restarted process keeps its promises. */
public interface AcceptorStorage {

    /**
     * Persists a state after the states of earlier calls.
     *
     * @param state the state; null to only wait for the states of earlier calls
     * @param onPersisted run on the owner's thread once the state is on disk; never run if it could
     *     not be written
     */
    void persist(AcceptorState state, Runnable onPersisted);
}
