/**
 * The data plane of the router: edges take clients' requests and send them to servers.
 *
 * <p>{@link poppynotch.router.EdgeServer} is the process. Each {@link
 * poppynotch.router.ClientConnection} reads requests; {@link poppynotch.router.RequestAdmission}
 * admits or rejects them; a {@link poppynotch.router.RequestExchange} sends each admitted one to
 * servers, one {@link poppynotch.router.Attempt} after the other, over the {@link
 * poppynotch.router.UpstreamConnectionPool}. The {@link poppynotch.router.ControlClient} keeps the
 * {@link poppynotch.router.FleetState} up to date. All of this runs on one event loop.
 */
package poppynotch.router;
