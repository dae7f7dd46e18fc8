package poppynotch.control;

import java.util.Optional;
import poppynotch.register.ProposalOutcome;
import poppynotch.rollout.MalformedRolloutsException;
import poppynotch.rollout.Rollout;
import poppynotch.rollout.RolloutTableCodec;
import poppynotch.rollout.ServiceVersions;

/** The result of reading the latest roll-out of a service. */
public sealed interface RolloutReadResult {

    /** There is one, running or ended. */
    record Found(Rollout rollout) implements RolloutReadResult {}

    /** None was ever ordered. */
    record None() implements RolloutReadResult {}

    /** The newest state could not be determined in time. */
    record Unknown() implements RolloutReadResult {}

    /** The reading of a register's value. */
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
            // Written by a later version.
            return new Unknown();
        }
    }
}
