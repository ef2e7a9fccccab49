Feature: A part of prompts that crashes engines is refused; sound prompts beside it are served

  # Guards against such a part being sent to engine after engine in requests that are no two alike (incident BUDGET).
  Scenario Outline: Five engines end under it at most, wherever it stands in the prompt
    Given a platform store with document 5 and resumable plans
    And 14 engines of "planner" in "lagos"
    And routed daemons "a, b" in "lagos"
    When <kind>s with parts "<parts>" are sent 12 times in turn through "a, b"
    Then 5 engines at most have ended
    And the last 4 answers are 503 "quarantined" with ran "no" and Retry-After
    And <kind>s with parts "<sound>" are served through "a, b"

    Examples:
      | kind           | parts                 | sound         |
      | plan           | first, second, dead-1 | first, second |
      | plan           | first, dead-1, third  | first, third  |
      | plan           | dead-1, second        | second        |
      | plan           | dead-1                | other         |
      | resumable plan | first, second, dead-1 | first, second |

  # Guards against a part that hides behind the other parts of its prompts, which change each time.
  Scenario: It is found where nothing else is common to its prompts
    Given a platform store with document 5
    And 14 engines of "planner" in "lagos"
    And routed daemons "a, b" in "lagos"
    When plans with parts "account-N, subject-N, dead-1" are sent 12 times in turn through "a, b"
    Then 5 engines at most have ended
    And the last 4 answers are 503 "quarantined" with ran "no" and Retry-After
    And plans with parts "account-1, subject-1" are served through "a, b"

  # Guards against several such parts hiding one another, or taking sound prompts with them.
  Scenario: Several at once in two failure domains, beside sound prompts with their other parts
    Given a platform store with document 5
    And 9 engines of "planner" in "lagos"
    And 9 engines of "planner" in "kano"
    And routed daemons "a, b" in "lagos"
    And routed daemons "m, n" in "kano"
    When sound plans with parts "first, second" are sent all the while through "a, m"
    And parts "first, second, dead-1" and parts "first, second, dead-2" come in 10 plans each, sent in turn through "a, m, b, n"
    Then 12 engines at most have ended
    And the last answers to each are 503 "quarantined"
    And none of the sound plans was refused as "quarantined", and the last 3 were served

  # Guards against strikes that only the daemons' memory knows of.
  Scenario: Daemons that are all killed still know the part when they have started again
    Given a platform store with document 5
    And 12 engines of "planner" in "lagos"
    And routed daemons "a, b" in "lagos"
    When plans with parts "first, second, dead-1" are sent 6 times in turn through "a, b"
    Then 5 engines at most have ended
    When routed daemons "a, b" are all killed, and started again
    And plans with parts "first, second, dead-1" are sent 4 times in turn through "a, b"
    Then 5 engines at most have ended
    And the last 4 answers are 503 "quarantined" with ran "no" and Retry-After
    And plans with parts "first, second" are served through "a, b"

  # Guards against strikes that the store refuses, because a prompt's many parts are in their keys.
  Scenario: Daemons that are all killed still know a part of prompts with nine others
    Given a platform store with document 5
    And 12 engines of "planner" in "lagos"
    And routed daemons "a, b" in "lagos"
    When plans with parts "p1, p2, p3, p4, p5, p6, p7, p8, p9, dead-1" are sent 6 times in turn through "a, b"
    Then 5 engines at most have ended
    When routed daemons "a, b" are all killed, and started again
    And plans with parts "p1, p2, p3, p4, p5, p6, p7, p8, p9, dead-1" are sent 4 times in turn through "a, b"
    Then 5 engines at most have ended
    And the last 4 answers are 503 "quarantined" with ran "no" and Retry-After
    And plans with parts "p1, p2, p3, p4, p5, p6, p7, p8, p9" are served through "a, b"

  # Guards against a domain whose links to the others are cut not hearing of it at all.
  Scenario: Failure domains that are cut from each other hear of the part through the store
    Given a platform store with document 5
    And 8 engines of "planner" in "lagos"
    And 8 engines of "planner" in "kano"
    And a routed daemon "a" in "lagos"
    And a routed daemon "m" in "kano" that shares no mesh key with the others
    When plans with parts "first, dead-1" are sent 6 times in turn through "a"
    Then 5 engines at most have ended
    When 4 s have passed
    And plans with parts "first, dead-1" are sent 4 times in turn through "m"
    Then 5 engines at most have ended
    And the last 4 answers are 503 "quarantined" with ran "no" and Retry-After
