package poppynotch.control;

import poppynotch.register.AcceptorState;

/** Keeps an acceptor's state. */
public interface AcceptorStorage {

    /**
     * Keeps a state, or waits for those given before where it is null.
     *
     * @param kept run on the owner's thread once it is on disk; never, if it could not be written
     */
    void persist(AcceptorState state, Runnable kept);
}
