package poppynotch.settings;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** An IPv4 address and port, as settings and registrations name it. */
public record HostPort(String host, int port) {

    private static final int MOST_PORT = 65535;

    /** Reads {@code HOST:PORT}; an {@code IllegalArgumentException} says what is wrong. */
    public static HostPort parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("no HOST:PORT: " + text);
        }
        int port = Integer.parseInt(text.substring(colon + 1));
        if (port < 0 || port > MOST_PORT) {
            throw new IllegalArgumentException("no port: " + text);
        }
        return new HostPort(text.substring(0, colon), port);
    }

    /** The socket's address, without any name look-up. */
    public InetSocketAddress socketAddress() {
        try {
            String[] parts = host.split("\\.");
            byte[] bytes = new byte[parts.length];
            for (int i = 0; i < parts.length; i++) {
                bytes[i] = (byte) Integer.parseInt(parts[i]);
            }
            return new InetSocketAddress(InetAddress.getByAddress(bytes), port);
        } catch (NumberFormatException | UnknownHostException e) {
            throw new IllegalArgumentException("no IPv4 address: " + host, e);
        }
    }

    /** The same host at another port. */
    public HostPort withPort(int other) {
        return new HostPort(host, other);
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
