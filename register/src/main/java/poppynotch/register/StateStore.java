package poppynotch.register;

import java.io.IOException;

/**
 * Durable storage of the states of one kind, of which only the newest is kept. The methods block on
 * the disk and must be called by one thread at a time.
 *
 * @param <S> the type of the states
 */
public interface StateStore<S> {

    /**
     * Writes a state and forces it to disk: once this returns, it survives a loss of power. After
     * an exception it may be lost or not.
     */
    void write(S state) throws IOException;

    /**
     * Verifies what is on disk, and writes it again if it is damaged.
     *
     * @return whether it was intact
     */
    boolean scrub() throws IOException;
}
