package poppynotch.control;

import java.util.Optional;
import java.util.OptionalLong;
import poppynotch.config.ConfigReader;
import poppynotch.config.ConfigResult;
import poppynotch.config.DocumentCodec;
import poppynotch.register.ProposalOutcome;
import poppynotch.register.RegisterValue;
import poppynotch.rollout.MalformedRolloutsException;
import poppynotch.rollout.Rollout;
import poppynotch.rollout.RolloutRequest;
import poppynotch.rollout.RolloutState;
import poppynotch.rollout.RolloutTable;
import poppynotch.rollout.RolloutTableCodec;
import poppynotch.rollout.ServiceVersions;

/**
 * An operator's order to roll out a new version of a service, as a change of the register. An order
 * that is sent again after it was accepted is acknowledged again, and not started twice.
 *
 * <p>Each submission needs an object of its own, as {@link #apply} stores its result for {@link
 * #resultOf}. Both are called from the thread of the {@link ControlPlaneNode}.
 */
final class RolloutOrder implements OperatorChange {

    private final RolloutRequest request;
    private final Optional<String> versionIfUnrecorded;
    private final OptionalLong supersededId;

    /** The result of the latest call of {@link #apply}; valid once its value is chosen. */
    private OperatorChangeResult result = new OperatorChangeResult.Unclear();

    /**
     * Creates one submission of an order.
     *
     * @param versionIfUnrecorded the serving version to record if the register has none for the
     *     service; empty if it is not known
     * @param supersededId the id of a rollout that ended so long ago that this order is not a retry
     *     of the same order
     */
    RolloutOrder(
            RolloutRequest request,
            Optional<String> versionIfUnrecorded,
            OptionalLong supersededId) {
        this.request = request;
        this.versionIfUnrecorded = versionIfUnrecorded;
        this.supersededId = supersededId;
    }

    @Override
    public Decision apply(RegisterValue current) {
        if (current.generation() == 0) {
            return keep(new OperatorChangeResult.Unclear());
        }
        if (!isConfigured(current, request.backend())) {
            return keep(new OperatorChangeResult.Invalid("unknown service: " + request.backend()));
        }
        RolloutTable table;
        try {
            table = RolloutTableCodec.decode(current.rollouts());
        } catch (MalformedRolloutsException e) {
            // The table was written by a later version, whose replicas decide on the order.
            return keep(new OperatorChangeResult.Unclear());
        }
        Optional<ServiceVersions> service =
                table.service(request.backend())
                        .or(
                                () ->
                                        versionIfUnrecorded.map(
                                                version ->
                                                        ServiceVersions.serving(
                                                                request.backend(), version)));
        if (service.isEmpty()) {
            return keep(new OperatorChangeResult.Unclear());
        }
        return applyTo(current, table, service.get());
    }

    private Decision applyTo(RegisterValue current, RolloutTable table, ServiceVersions service) {
        Optional<Rollout> latest = service.rollout();
        if (latest.isPresent() && isSameOrder(latest.get())) {
            return keep(new OperatorChangeResult.Applied(current.generation()));
        }
        if (service.runningRollout().isPresent()) {
            return keep(new OperatorChangeResult.Conflict(current.generation()));
        }
        Rollout ordered =
                Rollout.ordered(current.revision() + 1, request.targetVersion(), request.termMs());
        boolean servesAlready = request.targetVersion().equals(service.servingVersion());
        Rollout started = servesAlready ? ordered.ended(0, RolloutState.DONE) : ordered;
        result = new OperatorChangeResult.Applied(current.generation());
        return new Decision.Replace(
                current.withRollouts(
                        RolloutTableCodec.encode(table.with(service.withRollout(started)))));
    }

    private boolean isSameOrder(Rollout latest) {
        boolean superseded =
                !latest.isRunning()
                        && supersededId.isPresent()
                        && supersededId.getAsLong() == latest.id();
        return !superseded
                && latest.targetVersion().equals(request.targetVersion())
                && latest.termMs() == request.termMs();
    }

    private static boolean isConfigured(RegisterValue value, String backend) {
        return ConfigReader.readAccepted(DocumentCodec.decode(value.document()))
                        instanceof ConfigResult.Valid valid
                && valid.config().backends().containsKey(backend);
    }

    /** Keeps the current value, and stores the result for the operator. */
    private Decision keep(OperatorChangeResult resultForOperator) {
        result = resultForOperator;
        return new Decision.Keep();
    }

    @Override
    public OperatorChangeResult resultOf(ProposalOutcome outcome) {
        return outcome instanceof ProposalOutcome.Chosen
                ? result
                : new OperatorChangeResult.Unclear();
    }
}
