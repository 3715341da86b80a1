package burlarch.routing;

/** X-Server-Load of an answer: requests running, requests waiting, slots. */
public record ServerLoad(int running, int waiting, int slots) {}
