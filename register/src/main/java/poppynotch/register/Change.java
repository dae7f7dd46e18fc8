package poppynotch.register;

/** What a proposer does to the value that it finds; it may be asked more than once. */
@FunctionalInterface
public interface Change {

    /** Decides by the current value alone. */
    Decision decide(RegisterValue current);

    /** What becomes of the value. */
    sealed interface Decision {

        /** The register shall hold {@code value} from now on. */
        record Replace(RegisterValue value) implements Decision {}

        /** The value stays. */
        record Keep() implements Decision {}
    }

    /** A change that only reads. */
    Change READ = current -> new Decision.Keep();
}
