/**
 * The data plane of the router: edges accept client requests and proxy them to servers.
 *
 * <p>{@link poppynotch.router.EdgeServer} is the edge process. A {@link
 * poppynotch.router.ClientConnection} reads the requests of one client; {@link
 * poppynotch.router.RequestAdmission} admits or rejects them; a {@link
 * poppynotch.router.RequestExchange} handles each admitted request in one or more consecutive
 * {@link poppynotch.router.Attempt}s over the {@link poppynotch.router.UpstreamConnectionPool}. The
 * {@link poppynotch.router.ControlClient} keeps the {@link poppynotch.router.FleetState} up to
 * date. All of these run on one event loop.
 */
package poppynotch.router;
