package poppynotch.balancer;

/**
 * A request from a client.
 *
 * @param id unique among the open requests
 * @param requestClass index of its class in the settings
 * @param tenant index of its tenant in the settings
 * @param deadlineMs when its client stops waiting, on the host's clock
 * @param resent whether the client is resending it
 */
public record Request(String id, int requestClass, int tenant, double deadlineMs, boolean resent) {
    public Request {
        Checks.notNull("request.id", id);
        Checks.finite("request.deadline", deadlineMs);
    }
}
