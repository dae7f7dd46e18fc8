package poppynotch.settings;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/**
 * A host and a port, as in settings and registrations. The host is validated only by {@link
 * #socketAddress}, which accepts IPv4 addresses only.
 */
public record HostPort(String host, int port) {

    private static final int MAX_PORT = 65535;
    private static final int MAX_OCTET = 255;

    /**
     * Parses {@code HOST:PORT}.
     *
     * @throws IllegalArgumentException if the text has no host or no valid port
     */
    public static HostPort parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("no HOST:PORT: " + text);
        }
        int port = Integer.parseInt(text.substring(colon + 1));
        if (port < 0 || port > MAX_PORT) {
            throw new IllegalArgumentException("no port: " + text);
        }
        return new HostPort(text.substring(0, colon), port);
    }

    /**
     * Returns the socket address; host names are not resolved.
     *
     * @throws IllegalArgumentException if the host is not an IPv4 address
     */
    public InetSocketAddress socketAddress() {
        try {
            String[] octets = host.split("\\.");
            byte[] address = new byte[octets.length];
            for (int i = 0; i < octets.length; i++) {
                address[i] = octet(octets[i]);
            }
            return new InetSocketAddress(InetAddress.getByAddress(address), port);
        } catch (NumberFormatException | UnknownHostException e) {
            throw new IllegalArgumentException("no IPv4 address: " + host, e);
        }
    }

    private static byte octet(String text) {
        int octet = Integer.parseInt(text);
        if (octet < 0 || octet > MAX_OCTET) {
            throw new NumberFormatException(text);
        }
        return (byte) octet;
    }

    /** A copy with another port. */
    public HostPort withPort(int otherPort) {
        return new HostPort(host, otherPort);
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
