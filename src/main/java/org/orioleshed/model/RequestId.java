package org.orioleshed.model;

/**
 * Names one accepted request. Unique over hosts and restarts, unlike the caller's {@link
 * RequestKey}.
 *
 * @param host the entry host that accepted the request
 * @param incarnation the host's incarnation, which grows with each start
 * @param sequence the request's number within the incarnation
 */
public record RequestId(HostId host, long incarnation, long sequence) {
    /** Checks the arguments. */
    public RequestId {
        if (host == null) {
            throw new IllegalArgumentException("host must be given");
        }
    }

    @Override
    public String toString() {
        return host + "." + incarnation + "." + sequence;
    }

    /**
     * Returns the id that {@link #toString} wrote.
     *
     * @throws IllegalArgumentException when {@code text} is not such an id
     */
    public static RequestId parse(String text) {
        int last = text.lastIndexOf('.');
        int middle = text.lastIndexOf('.', last - 1);
        if (last < 0 || middle < 1) {
            throw new IllegalArgumentException("not a request id: " + text);
        }
        return new RequestId(
                new HostId(text.substring(0, middle)),
                Long.parseLong(text.substring(middle + 1, last)),
                Long.parseLong(text.substring(last + 1)));
    }
}
