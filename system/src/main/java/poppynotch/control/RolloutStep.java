package poppynotch.control;

import java.util.Optional;
import poppynotch.register.ChangeFunction;
import poppynotch.register.RegisterValue;
import poppynotch.rollout.Rollout;
import poppynotch.rollout.RolloutTable;
import poppynotch.rollout.RolloutTableCodec;
import poppynotch.rollout.ServiceVersions;

/**
 * The next step of a running rollout, as a change of the register. It is applied only to the step
 * that it follows, so that a controller that has lost its role changes nothing.
 */
final class RolloutStep implements ChangeFunction {

    private final String backend;
    private final Rollout before;
    private final Rollout next;

    RolloutStep(String backend, Rollout before, Rollout next) {
        this.backend = backend;
        this.before = before;
        this.next = next;
    }

    @Override
    public Decision apply(RegisterValue current) {
        RolloutTable table = RolloutTableCodec.decode(current.rollouts());
        Optional<ServiceVersions> service =
                table.service(backend)
                        .filter(known -> known.runningRollout().filter(this::follows).isPresent());
        return service.<Decision>map(
                        known ->
                                new Decision.Replace(
                                        current.withRollouts(
                                                RolloutTableCodec.encode(
                                                        table.with(known.withRollout(next))))))
                .orElseGet(Decision.Keep::new);
    }

    private boolean follows(Rollout running) {
        return running.id() == before.id() && running.step() == before.step();
    }
}
