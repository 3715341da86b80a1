/**
 * Stand-ins and cases of the second review. Each case starts the fleet's own programs with the commands of the deploy
 * file on loopback addresses, plays clients, servers, operator and platform itself, and judges only what these see on
 * their sockets. Only the JDK is used.
 */
package review;
