Feature: Which part of a prompt is to blame for the engines that die as they begin to answer it

  # Guards against a deadly part that is counted by whole requests, none of which comes twice.
  Scenario: Three deaths are enough where the request at hand holds all that was there
    Given engines that died under these prompts
      | at | parts          |
      | 1  | first, deadly  |
      | 2  | first, deadly  |
    Then a prompt with "first, deadly" is admitted
    Given engines that died under these prompts
      | at | parts          |
      | 3  | first, deadly  |
    Then a prompt with "first, deadly" is refused

  # Guards against refusing a caller, or its other prompts, for a part that they do not hold.
  Scenario: Prompts that hold only the other parts are admitted, and clear them
    Given engines that died under these prompts
      | at | parts                 |
      | 1  | first, second, deadly |
      | 2  | first, second, deadly |
      | 3  | first, second, deadly |
    Then a prompt with "first, second" is admitted
    And a prompt with "first, other" is admitted
    When a prompt with "first, second" is being answered at 4 s
    Then a prompt with "deadly" is refused

  # Guards against a deadly part that hides behind parts which change from prompt to prompt.
  Scenario: A part is to blame if it would take three other causes to explain its deaths
    Given engines that died under these prompts
      | at | parts             |
      | 1  | first-1, deadly   |
      | 2  | first-2, deadly   |
      | 3  | first-1, deadly   |
    Then a prompt with "first-3, deadly" is admitted
    Given engines that died under these prompts
      | at | parts             |
      | 4  | first-3, deadly   |
    Then a prompt with "first-4, deadly" is refused
    And a prompt with "first-1, harmless" is admitted

  # Guards against a common part that is condemned for the deaths of two others.
  Scenario: Two deadly parts do not condemn what their prompts have in common
    Given engines that died under these prompts
      | at | parts        |
      | 1  | first, one   |
      | 2  | first, two   |
      | 3  | first, one   |
      | 4  | first, two   |
    Then a prompt with "first, harmless" is admitted
    Given engines that died under these prompts
      | at | parts        |
      | 5  | first, one   |
      | 6  | first, two   |
    Then a prompt with "first, one" is refused
    And a prompt with "first, two" is refused
    And a prompt with "first, harmless" is admitted

  # Guards against a request that crashes engines by its text, and takes all prompts with its parts along.
  Scenario: One request that comes again and again is to blame by itself
    Given one request under which engines died
      | at | parts         |
      | 1  | first, second |
      | 2  | first, second |
      | 3  | first, second |
      | 4  | first, second |
    Then a prompt with "first, second" is admitted

  # Guards against counting a failure domain that loses power as many deaths.
  Scenario: Engines that die at one moment count once
    Given engines that died under these prompts
      | at   | parts |
      | 1    | rare  |
      | 1.02 | rare  |
      | 1.04 | rare  |
      | 2    | rare  |
    Then a prompt with "rare" is admitted

  # Guards against a popular part that is refused because other servers end around it.
  Scenario: A part that was answered between the deaths is not to blame
    Given engines that died under these prompts
      | at | parts |
      | 1  | first |
      | 2  | first |
    When a prompt with "first" is being answered at 2.5 s
    Given engines that died under these prompts
      | at | parts |
      | 3  | first |
      | 4  | first |
      | 5  | first |
      | 6  | first |
    Then a prompt with "first" is admitted
    Given engines that died under these prompts
      | at | parts |
      | 7  | first |
    Then a prompt with "first" is refused

  # Guards against a refusal for ever, and against memory that grows.
  Scenario: Deaths count for ten minutes
    Given engines that died under these prompts
      | at | parts  |
      | 1  | deadly |
      | 2  | deadly |
      | 3  | deadly |
    Then a prompt with "deadly" is refused
    When it is 602 s
    Then a prompt with "deadly" is admitted

  # Guards against strikes for those who wait beside a culprit, and for those long past their beginning.
  Scenario Outline: Only prompts whose answer may just have begun are suspects
    Given a server on which one run is <one> and another is <other>
    When the server dies
    Then the prompts of "<suspects>" are suspects

    Examples:
      | one      | other     | suspects   |
      | begun    | waiting   | one        |
      | begun    | under way | one        |
      | begun    | begun     | one, other |
      | waiting  | waiting   | one, other |
      | waiting  | under way | one        |
