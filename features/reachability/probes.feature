Feature: A daemon finds out whether it has lost its links to all targets
  Nothing else tells a daemon without links from one that has met some targets that are down.

  Scenario: Probes go to targets of different data centres and domains
    Given listed targets in 3 data centres with 2 domains each
    When the targets to probe are chosen with seeds 1 to 20
    Then 4 targets are probed each time, in all data centres and in different domains

  Scenario Outline: One success shows that there are links, one failure that not all are back
    When <reached> of <probed> probed targets are reached by a daemon that <before> targets
    Then it <after> targets

    Examples:
      | probed | reached | before         | after          |
      | 4      | 0       | reaches        | does not reach |
      | 4      | 1       | reaches        | reaches        |
      | 4      | 2       | does not reach | does not reach |
      | 4      | 3       | does not reach | reaches        |
      | 1      | 0       | reaches        | does not reach |
      | 1      | 1       | does not reach | reaches        |
      | 0      | 0       | reaches        | reaches        |
      | 0      | 0       | does not reach | reaches        |

  Scenario: Links are probed after a failed connection, and until they are back
    Given a daemon whose links to all targets fail from 1 s to 9 s
    When a connection fails after 2 s
    Then the daemon knows from 2 s to 9.5 s that it reaches no targets
    And it probes at most 4 targets each 0.5 s, and none before or afterwards

  Scenario: Links that a request has found lost are probed until they are back
    Given a daemon whose links to all targets fail from 1 s to 9 s
    When a request at a target that is suspected already fails after 2 s
    Then the daemon knows from 2 s to 9.5 s that it reaches no targets
    And it probes at most 4 targets each 0.5 s, and none before or afterwards

  Scenario: Links are probed when nothing arrives although requests are in flight
    Given a daemon whose links to all targets fail from 1 s to 9 s
    When requests in flight get no bytes from 1 s on
    Then the daemon knows from 2.5 s to 9.5 s that it reaches no targets

  Scenario Outline: A host that answers is not lost
    Given a daemon that <reaches> other targets
    When it checks the host of a target where <host>
    Then the host is <outcome>

    Examples:
      | reaches        | host                                   | outcome           |
      | reaches        | a process listens and is paused        | not known as lost |
      | reaches        | no process listens                     | not known as lost |
      | reaches        | no connection is answered              | lost              |
      | reaches        | the first two connections are lost     | not known as lost |
      | does not reach | no connection is answered              | not known as lost |
      | has no         | no connection is answered              | not known as lost |
