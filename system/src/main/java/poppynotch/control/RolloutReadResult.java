package poppynotch.control;

import java.util.Optional;
import poppynotch.register.ProposalOutcome;
import poppynotch.rollout.MalformedRolloutsException;
import poppynotch.rollout.Rollout;
import poppynotch.rollout.RolloutTableCodec;
import poppynotch.rollout.ServiceVersions;

/** The result of reading the latest rollout of a service. */
public sealed interface RolloutReadResult {

    /** The latest rollout, running or ended. */
    record Found(Rollout rollout) implements RolloutReadResult {}

    /** No rollout of the service has ever been ordered. */
    record None() implements RolloutReadResult {}

    /** The newest value could not be determined in time, or can't be decoded. */
    record Unknown() implements RolloutReadResult {}

    /** The result for a service, by the outcome of a proposal that reads the register. */
    static RolloutReadResult of(ProposalOutcome outcome, String backend) {
        if (!(outcome instanceof ProposalOutcome.Chosen chosen)) {
            return new Unknown();
        }
        try {
            Optional<Rollout> latest =
                    RolloutTableCodec.decode(chosen.value().rollouts())
                            .service(backend)
                            .flatMap(ServiceVersions::rollout);
            return latest.<RolloutReadResult>map(Found::new).orElseGet(None::new);
        } catch (MalformedRolloutsException e) {
            // The table was written by a later version.
            return new Unknown();
        }
    }
}
