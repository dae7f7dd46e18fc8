package poppynotch.control;

/**
 * Persists the states of one kind, so that a restarted process continues with the newest one.
 *
 * @param <S> the type of the states; each supersedes the ones before it
 */
public interface StateStorage<S> {

    /**
     * Persists a state after the states of earlier calls.
     *
     * @param state the state; null to only wait for the states of earlier calls
     * @param onPersisted run on the owner's thread once the state is on disk; never run if it could
     *     not be written
     */
    void persist(S state, Runnable onPersisted);
}
